//! Identifier of one caller's request.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

/// Identifier of one caller's request: 128 random bits, written as 32
/// hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(u128);

impl RequestId {
    /// Returns a random identifier, which no other request has.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the identifier with the given bits.
    pub fn from_bits(bits: u128) -> Self {
        Self(bits)
    }

    /// Returns the bits of the identifier.
    pub fn bits(self) -> u128 {
        self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl Serialize for RequestId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn from_str_round_trip() {
        let id = RequestId::random();
        assert_eq!(id.to_string().parse(), Ok(id));
    }

    #[test]
    fn from_str_not_hexadecimal() {
        assert!("xyz".parse::<RequestId>().is_err());
    }
}
