//! SHA-256 digest by which a caller's key is checked.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::str::FromStr;

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;

/// SHA-256 digest of a caller's key. The key itself is never stored.
#[derive(Debug, Clone, Copy)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// The text of a key digest is not 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidKeyDigest;

impl KeyDigest {
    /// Computes the digest of a key, given in the bytes that the caller sent.
    pub fn of_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl PartialEq for KeyDigest {
    /// Compares in constant time, so that the time taken reveals nothing about
    /// a stored digest.
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = InvalidKeyDigest;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 2 * DIGEST_BYTES || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(InvalidKeyDigest);
        }
        let mut bytes = [0; DIGEST_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| InvalidKeyDigest)?;
        }
        Ok(Self(bytes))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn from_str_round_trip() {
        let digest = KeyDigest::of_key(b"secret");
        assert_eq!(digest.to_string().parse(), Ok(digest));
    }

    #[test]
    fn from_str_too_short() {
        assert_eq!("abcd".parse::<KeyDigest>(), Err(InvalidKeyDigest));
    }

    #[test]
    fn from_str_not_ascii() {
        let text = "é".repeat(32);
        assert_eq!(text.parse::<KeyDigest>(), Err(InvalidKeyDigest));
    }
}
