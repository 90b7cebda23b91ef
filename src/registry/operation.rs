//! Key ranges, and the operations of a store transaction.

use bytes::Bytes;

use super::LeaseId;

/// One key, or all keys with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyRange {
    /// Only this key.
    Key(Bytes),
    /// All keys that begin with these bytes.
    Prefix(Bytes),
}

/// Operation of a store transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Reads the keys of a range.
    Range(KeyRange),
    /// Writes a value at a key; the store deletes it when the lease, if any, ends.
    Put(Bytes, Bytes, Option<LeaseId>),
    /// Deletes the keys of a range.
    Delete(KeyRange),
}

impl KeyRange {
    /// Returns the first key of the range.
    pub(super) fn start(&self) -> &Bytes {
        match self {
            Self::Key(key) | Self::Prefix(key) => key,
        }
    }

    /// Returns the first key after the range, or a zero byte, by which etcd means
    /// the end of all keys; `None` for a single key.
    pub(super) fn end(&self) -> Option<Bytes> {
        let Self::Prefix(prefix) = self else {
            return None;
        };
        let mut end = prefix.to_vec();
        while let Some(last) = end.pop() {
            if last < u8::MAX {
                end.push(last + 1);
                return Some(end.into());
            }
        }
        Some(Bytes::from_static(&[0]))
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case::plain(b"ab", b"ac")]
    #[case::carry(b"a\xff", b"b")]
    #[case::everything(b"\xff", b"\0")]
    fn end_prefix(#[case] prefix: &'static [u8], #[case] end: &'static [u8]) {
        let range = KeyRange::Prefix(Bytes::from_static(prefix));
        assert_eq!(range.end(), Some(Bytes::from_static(end)));
    }
}
