//! The page of settings names every field that the settings read.

use std::fs;

const READERS: [&str; 9] = [
    "take(",
    "take_optional(",
    "take_required(",
    "take_number(",
    "take_size(",
    "take_section(",
    "take_list(",
    "millis(",
    "count(",
];

/// Returns the fields that a source file reads, by the literal name at each
/// call of a reader.
fn list_fields(source: &str) -> Vec<String> {
    let mut fields = Vec::new();
    for reader in READERS {
        for (position, _) in source.match_indices(reader) {
            let arguments = source[position + reader.len()..].trim_start();
            let name = arguments.strip_prefix('"');
            if let Some((name, _)) = name.and_then(|rest| rest.split_once('"')) {
                fields.push(name.into());
            }
        }
    }
    fields
}

#[test]
fn settings_page_lists_every_field() {
    let root = env!("CARGO_MANIFEST_DIR");
    let page = fs::read_to_string(format!("{root}/docs/SETTINGS.md")).expect("the page");
    let mut count = 0;
    for file in fs::read_dir(format!("{root}/src/settings")).expect("sources") {
        let source = fs::read_to_string(file.expect("a file").path()).expect("a source");
        let source = source.split("#[cfg(test)]").next().unwrap_or_default();
        for field in list_fields(source) {
            count += 1;
            let whole = format!("`{field}`");
            let last = format!(".{field}`");
            let outer = format!("`{field}.");
            let list = format!("`{field}[]");
            let is_documented = [whole, last, outer, list]
                .iter()
                .any(|form| page.contains(form));
            assert!(is_documented, "{field} does not stand in docs/SETTINGS.md");
        }
    }
    assert!(count > 35, "only {count} fields found");
}

#[test]
fn list_fields_across_line_break() {
    let source = "section.take_number(\n    \"a_ms\", 1), section.take(\"b\", x)";
    assert_eq!(list_fields(source), ["b", "a_ms"]);
}
