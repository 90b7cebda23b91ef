//! State of one generation and the JSON of its response.

use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

/// Progress of a generation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of output tokens generated so far.
    pub generated_tokens: u32,
    /// Number of prompt tokens found in the cache.
    pub cached_tokens: u32,
    /// No further token follows.
    pub ended: bool,
    /// The generation was cancelled, or lost in a crash, before its end.
    pub cancelled: bool,
}

/// One run of a completion request. The text of each token depends only on its
/// index, so readers can start at any index.
#[derive(Debug)]
pub struct Generation {
    /// Random id, which differs between two runs of the same request.
    pub id: u64,
    /// Request id from the header of the request.
    pub request_id: String,
    /// The request came to the chat endpoint.
    pub is_chat: bool,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Number of readers; without readers the generation is cancelled after
    /// [`orphan_timeout`](super::EngineSettings::orphan_timeout).
    pub readers: usize,
    progress: watch::Sender<Progress>,
}

impl Generation {
    /// Creates a generation that has no token yet.
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

    /// Subscribes to the progress.
    pub fn watch_progress(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Returns the current progress.
    pub fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Changes the progress and notifies the subscribers.
    pub fn update(&self, change: impl FnOnce(&mut Progress)) {
        self.progress.send_modify(change);
    }

    /// Returns a writer for the response of this generation.
    pub fn response_writer(&self) -> ResponseWriter {
        ResponseWriter {
            id: self.id,
            is_chat: self.is_chat,
            prompt_tokens: self.prompt_tokens,
        }
    }
}

/// Writes the JSON of the response of one generation.
#[derive(Debug, Clone, Copy)]
pub struct ResponseWriter {
    /// Random id of the generation, from which the completion id is made.
    pub id: u64,
    /// The request came to the chat endpoint.
    pub is_chat: bool,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
}

impl ResponseWriter {
    /// Returns the event data of the token with this index.
    pub fn write_token_event(&self, index: u32) -> String {
        let text = self.make_token_text(index);
        let choice = if self.is_chat {
            json!({"index": 0, "delta": {"content": text}})
        } else {
            json!({"index": 0, "text": text})
        };
        json!({"id": self.completion_id(), "choices": [choice]}).to_string()
    }

    /// Returns the data of the usage event, which follows the last token.
    pub fn write_usage_event(&self, progress: Progress) -> String {
        let usage = self.make_usage(progress);
        json!({"id": self.completion_id(), "choices": [], "usage": usage}).to_string()
    }

    /// Returns the body of a response without streaming.
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
