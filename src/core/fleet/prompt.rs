//! Prompt of a call: an ordered list of parts, identified by name, with token
//! counts.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::ModelName;

/// Hash of the name that callers and engines give to a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl PartId {
    /// Hashes the name of a part.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity of the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Prompt of a call. All parts but the last may be shared with other calls; the
/// last one belongs to this call or its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Model that the call is for.
    pub model: ModelName,
    /// Parts in the order of the prompt.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_output_tokens: u32,
    /// Length of the answer that the caller expects, in tokens.
    pub expected_output_tokens: u32,
}

impl Prompt {
    /// Returns all parts but the last, which other calls may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the tokens charged against the account's rate: the prompt and
    /// the maximum answer.
    pub fn charged_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }
}
