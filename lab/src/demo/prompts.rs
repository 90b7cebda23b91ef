//! Generates prompts with long shared prefixes from a seed.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use teaseldrum::core::placement::BYTES_PER_TOKEN;

use super::DeploymentSpec;

/// Generates the requests of one deployment.
#[derive(Debug)]
pub struct PromptGenerator {
    deployment: DeploymentSpec,
    rng: StdRng,
}

/// A generated request.
#[derive(Debug, Clone)]
pub struct PromptRequest {
    /// Index of the account in the deployment.
    pub account: usize,
    /// Preamble of the account, one of its files and a question.
    pub prompt: String,
}

impl PromptGenerator {
    /// Creates a generator. The same seed gives the same requests.
    pub fn new(deployment: DeploymentSpec, seed: u64) -> Self {
        Self {
            deployment,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Draws the time until the next request in seconds; arrivals are a Poisson
    /// process.
    pub fn draw_gap_seconds(&mut self) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() / self.deployment.requests_per_second
    }

    /// Draws an account, one of its files and a new question.
    pub fn draw_request(&mut self) -> PromptRequest {
        let account = self.draw_account();
        let file = self.draw_file();
        let name = self.deployment.accounts[account].name;
        let question = self.rng.random::<u64>();
        let mut prompt = make_text(&format!("{name} rules"), self.deployment.preamble_tokens);
        let file = format!("{name} file {file}");
        prompt.push_str(&make_text(&file, self.deployment.file_tokens));
        let question = format!("{name} question {question}");
        prompt.push_str(&make_text(&question, self.deployment.question_tokens));
        PromptRequest { account, prompt }
    }

    fn draw_account(&mut self) -> usize {
        let mut remaining: f64 = self.rng.random();
        for (index, account) in self.deployment.accounts.iter().enumerate() {
            remaining -= account.share;
            if remaining < 0.0 {
                return index;
            }
        }
        0
    }

    /// Draws the index of a file. Files with a low index are much more popular.
    fn draw_file(&mut self) -> usize {
        let uniform: f64 = self.rng.random();
        let skewed_draw = uniform * uniform;
        (skewed_draw * self.deployment.files_per_account as f64) as usize
    }
}

/// Returns a text of a number of tokens, the same for the same name.
fn make_text(name: &str, tokens: usize) -> String {
    let bytes = tokens * BYTES_PER_TOKEN;
    let mut text = String::with_capacity(bytes + name.len() + 16);
    let mut line = 0;
    while text.len() < bytes {
        text.push_str(name);
        text.push_str(&format!(" line {line}. "));
        line += 1;
    }
    text.truncate(bytes);
    text
}
