//! Checks that docs/SETTINGS.md lists every field that settings files may have.

use std::fs;

/// Beginnings of the calls that read a field in the sources of the settings.
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

/// Returns the names of the fields that a source file reads: the string literal
/// that is the first argument of a call in [`READERS`].
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
    let page =
        fs::read_to_string(format!("{root}/docs/SETTINGS.md")).expect("the page is readable");
    let mut count = 0;
    for file in fs::read_dir(format!("{root}/src/settings"))
        .expect("the directory of the settings is readable")
    {
        let source = fs::read_to_string(file.expect("a directory entry is readable").path())
            .expect("a source file is readable");
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
            assert!(is_documented, "{field} is missing in docs/SETTINGS.md");
        }
    }
    assert!(count > 35, "only {count} fields found");
}

#[test]
fn list_fields_across_line_break() {
    let source = "section.take_number(\n    \"a_ms\", 1), section.take(\"b\", x)";
    assert_eq!(list_fields(source), ["b", "a_ms"]);
}
