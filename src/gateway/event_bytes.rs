//! Events in the bytes of a stream.

/// Bytes that end an event.
const EVENT_TERMINATOR: &[u8] = b"\n\n";

/// Start of the line with an event's id.
const ID_FIELD_PREFIX: &[u8] = b"id:";

/// Returns the length of the complete events at the start of `bytes`; `None` if there are
/// none.
pub fn complete_len(bytes: &[u8]) -> Option<usize> {
    Some(find_last_match(bytes, EVENT_TERMINATOR)? + EVENT_TERMINATOR.len())
}

/// Returns the number of complete events.
pub fn count_events(events: &[u8]) -> u32 {
    let ends = events.windows(EVENT_TERMINATOR.len());
    let count = ends.filter(|window| *window == EVENT_TERMINATOR).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Returns whether there is a whole event with a field, rather than only comments.
pub fn has_data(events: &[u8]) -> bool {
    let end = find_last_match(events, EVENT_TERMINATOR).unwrap_or(0);
    let mut lines = events[..end].split(|&byte| byte == b'\n');
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

fn find_last_match(buffer: &[u8], pattern: &[u8]) -> Option<usize> {
    buffer
        .windows(pattern.len())
        .rposition(|window| window == pattern)
}

/// Returns the id of the last event that has one.
pub fn find_last_event_id(events: &[u8]) -> Option<String> {
    let line = events
        .split(|&byte| byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(ID_FIELD_PREFIX))?;
    let id = std::str::from_utf8(line).ok()?;
    Some(id.trim().to_owned())
}
