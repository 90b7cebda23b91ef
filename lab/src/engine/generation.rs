//! One answer that an engine generates.

use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

/// How far a generation has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Tokens generated.
    pub generated_tokens: u32,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// No token follows.
    pub ended: bool,
    /// It was cancelled or lost before its end.
    pub cancelled: bool,
}

/// One answer that an engine generates. Its text is a function of its id and
/// the number of each token, so that readers can join at any number.
#[derive(Debug)]
pub struct Generation {
    /// Identity, which differs between two runs of the same request.
    pub id: u64,
    /// Request id that came with the request.
    pub request_id: String,
    /// The request is a chat.
    pub is_chat: bool,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Readers that wait for tokens.
    pub readers: usize,
    progress: watch::Sender<Progress>,
}

impl Generation {
    /// Creates a generation that has not begun.
    pub fn new(id: u64, request_id: String, is_chat: bool, prompt_tokens: u32) -> Self {
        Self {
            id,
            request_id,
            is_chat,
            prompt_tokens,
            readers: 0,
            progress: watch::Sender::new(Progress::default()),
        }
    }

    /// Follows the progress.
    pub fn watch_progress(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Returns how far it has come.
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Changes how far it has come.
    pub fn update(&self, change: impl FnOnce(&mut Progress)) {
        self.progress.send_modify(change);
    }

    /// Returns what a reader needs to write the answer.
    pub fn response_writer(&self) -> ResponseWriter {
        ResponseWriter {
            id: self.id,
            is_chat: self.is_chat,
            prompt_tokens: self.prompt_tokens,
        }
    }
}

/// Writes the answer of one generation.
#[derive(Debug, Clone, Copy)]
pub struct ResponseWriter {
    /// Identity of the generation.
    pub id: u64,
    /// The request is a chat.
    pub is_chat: bool,
    /// Length of the prompt.
    pub prompt_tokens: u32,
}

impl ResponseWriter {
    /// Returns the data of the event of one token.
    pub fn write_token_event(&self, index: u32) -> String {
        let text = self.make_token_text(index);
        let choice = if self.is_chat {
            json!({"index": 0, "delta": {"content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        json!({"id": self.completion_id(), "choices": [choice]}).to_string()
    }

    /// Returns the data of the event that ends the tokens.
    pub fn write_usage_event(&self, progress: Progress) -> String {
        let usage = self.make_usage(progress);
        json!({"id": self.completion_id(), "choices": [], "usage": usage}).to_string()
    }

    /// Returns a whole answer.
    pub fn write_response(&self, progress: Progress) -> Value {
        let text: String = (0..progress.generated_tokens)
            .map(|index| self.make_token_text(index))
            .collect();
        let choice = if self.is_chat {
            json!({"index": 0, "message": {"role": "assistant", "content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        json!({"id": self.completion_id(), "choices": [choice], "usage": self.make_usage(progress)})
    }

    fn make_token_text(&self, index: u32) -> String {
        format!("w{index} ")
    }

    fn completion_id(&self) -> String {
        format!("cmpl-{:016x}", self.id)
    }

    fn make_usage(&self, progress: Progress) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": progress.generated_tokens,
            "total_tokens": self.prompt_tokens + progress.generated_tokens,
            "prompt_tokens_details": {"cached_tokens": progress.cached_tokens},
        })
    }
}
