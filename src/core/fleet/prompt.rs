//! The prompt of a call, as nested parts with token counts.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::ModelName;

/// Identity of a part of a prompt: a hash of the name that callers and
/// engines give it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl PartId {
    /// Returns the identity of a named part.
    pub fn from_name(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Which part.
    pub id: PartId,
    /// Its size.
    pub tokens: u32,
}

/// The prompt of a call. Requests share parts; the last one is the call's or
/// its session's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Model that is to answer.
    pub model: ModelName,
    /// Parts in order.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
    /// Tokens that the caller expects of the answer.
    pub expected_output_tokens: u32,
}

impl Prompt {
    /// Returns the parts that other calls share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens that the call counts as against a rate.
    pub fn charged_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.max_output_tokens)
    }
}
