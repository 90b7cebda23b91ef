//! Patch of one contiguous edit of a text.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Patch of one contiguous edit of a text; the text before and after the edit
/// is unchanged. The patch of an edited rule is a few hundred bytes, however
/// long the rules are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPatch {
    /// Bytes unchanged at the start of the old text.
    keep_start: usize,
    /// Bytes unchanged at the end of the old text.
    keep_end: usize,
    /// New text between the unchanged parts.
    middle: String,
    /// XXH3 digest of the new text, by which a mismatch is detected.
    digest: u64,
}

/// A patch was applied to another text than it was made for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PatchMismatch;

impl fmt::Display for PatchMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("patch does not match the text it is applied to")
    }
}

impl TextPatch {
    /// Returns the patch that turns `old` into `new`.
    pub fn diff(old: &str, new: &str) -> Self {
        let keep_start = count_common_bytes(old.chars(), new.chars());
        let old_rest = &old[keep_start..];
        let new_rest = &new[keep_start..];
        let keep_end = count_common_bytes(old_rest.chars().rev(), new_rest.chars().rev());
        Self {
            keep_start,
            keep_end,
            middle: new_rest[..new_rest.len() - keep_end].into(),
            digest: xxh3_64(new.as_bytes()),
        }
    }

    /// Applies the patch to the old text and returns the new one.
    ///
    /// # Errors
    ///
    /// `old` is not the text that the patch was made for.
    pub fn apply(&self, old: &str) -> Result<String, PatchMismatch> {
        let end = old.len().checked_sub(self.keep_end).ok_or(PatchMismatch)?;
        let head = old.get(..self.keep_start).ok_or(PatchMismatch)?;
        let tail = old.get(end..).ok_or(PatchMismatch)?;
        let new = [head, &self.middle, tail].concat();
        if xxh3_64(new.as_bytes()) == self.digest {
            Ok(new)
        } else {
            Err(PatchMismatch)
        }
    }
}

/// Returns the length in bytes of the characters that both begin with.
fn count_common_bytes(a: impl Iterator<Item = char>, b: impl Iterator<Item = char>) -> usize {
    a.zip(b)
        .take_while(|(a, b)| a == b)
        .map(|(a, _)| a.len_utf8())
        .sum()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::ProptestConfig;
    use proptest::prop_assert_eq;
    use proptest::proptest;
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case::same("a\nb\n", "a\nb\n", 0)]
    #[case::inserted("a\nb\n", "a\nx\nb\n", 2)]
    #[case::removed("a\nx\nb\n", "a\nb\n", 0)]
    #[case::repeated("aa", "aaa", 1)]
    fn diff_stores_only_the_change(#[case] old: &str, #[case] new: &str, #[case] bytes: usize) {
        let patch = TextPatch::diff(old, new);
        assert_eq!(patch.middle.len(), bytes);
        assert_eq!(patch.apply(old).as_deref(), Ok(new));
    }

    #[test]
    fn apply_to_other_text() {
        let patch = TextPatch::diff("rate 1", "rate 2");
        assert_eq!(patch.apply("late 1"), Err(PatchMismatch));
        assert_eq!(patch.apply(""), Err(PatchMismatch));
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(256))]

        #[test]
        fn apply_round_trip(old in "[ab\u{e9}\n]{0,12}", new in "[ab\u{e9}\n]{0,12}") {
            let patch = TextPatch::diff(&old, &new);
            prop_assert_eq!(patch.apply(&old), Ok(new));
        }
    }
}
