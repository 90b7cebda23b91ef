//! Ways in which callers do not behave.

/// What a caller does on each of its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misbehavior {
    /// Announces a body far over any limit, and sends it.
    AnnouncedBody,
    /// Sends a body in chunks without an end.
    EndlessBody,
    /// Sends most of a body within the limits, then a byte now and then.
    TricklingBody,
    /// Sends a head without an end.
    EndlessHead,
    /// Sends a head byte by byte.
    TricklingHead,
    /// Asks for a long response and takes a byte now and then.
    HardlyReadResponse,
    /// Sends one request after the other and reads no response.
    UnreadPipeline,
    /// Connects and sends nothing.
    Idle,
}

impl Misbehavior {
    /// All ways.
    pub const ALL: [Self; 8] = [
        Self::AnnouncedBody,
        Self::EndlessBody,
        Self::TricklingBody,
        Self::EndlessHead,
        Self::TricklingHead,
        Self::HardlyReadResponse,
        Self::UnreadPipeline,
        Self::Idle,
    ];
}
