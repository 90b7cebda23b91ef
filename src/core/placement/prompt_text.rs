//! Text of a request's prompt, from which block hashes are computed.

use serde_json::Map;
use serde_json::Value;

/// Returns the prompt's text in the body of a completions or chat completions
/// request; `None` if it has no text prompt. Messages are joined with their
/// roles, so that the text of a conversation begins with the text of each of
/// its earlier turns.
pub fn read_prompt_text(body: &Map<String, Value>) -> Option<String> {
    if let Some(prompt) = body.get("prompt") {
        return prompt.as_str().map(String::from);
    }
    let messages = body.get("messages")?.as_array()?;
    let mut text = String::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        text.push_str(role.unwrap_or_default());
        text.push('\n');
        push_content(&mut text, message.get("content")?)?;
        text.push('\n');
    }
    Some(text)
}

/// Appends the content of a message, which is a text or a list of parts. Parts
/// without text are skipped.
fn push_content(text: &mut String, content: &Value) -> Option<()> {
    if let Some(content) = content.as_str() {
        text.push_str(content);
        return Some(());
    }
    for part in content.as_array()? {
        let part = part.get("text").and_then(Value::as_str);
        text.push_str(part.unwrap_or_default());
    }
    Some(())
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    fn read(body: Value) -> Option<String> {
        read_prompt_text(body.as_object().expect("the body is an object"))
    }

    #[test]
    fn read_prompt_text_completions() {
        assert_eq!(read(json!({"prompt": "x"})), Some("x".into()));
        assert_eq!(read(json!({"prompt": 4})), None);
        assert_eq!(read(json!({})), None);
    }

    #[test]
    fn read_prompt_text_later_turn_begins_with_earlier() {
        let first = json!({"role": "system", "content": "long file"});
        let second = json!({"role": "user", "content": [{"type": "text", "text": "a question"}]});
        let earlier = read(json!({"messages": [first]})).expect("the body has a prompt");
        let later = read(json!({"messages": [first, second]})).expect("the body has a prompt");
        assert!(later.starts_with(&earlier));
        assert!(later.contains("a question"));
    }
}
