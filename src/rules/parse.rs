//! Parses a rules file and reports all its errors together.

use std::ops::RangeInclusive;
use std::str::FromStr;

use super::Account;
use super::ApiKey;
use super::Pool;
use super::Route;
use super::RuleError;
use super::RuleSet;
use super::line::Line;
use super::line::Word;
use super::line::split_line;
use crate::core::AccountName;
use crate::core::CacheSalt;
use crate::core::KeyDigest;
use crate::core::Revision;
use crate::core::limit::AccountId;

/// Range of the weight of an account.
const WEIGHT_RANGE: RangeInclusive<u32> = 1..=1_000;

/// Maximum rate (tokens per second) and burst (tokens) of an account.
const MAX_TOKENS: u64 = 1_000_000_000_000;

/// Parses the text of a revision of the rules.
///
/// # Errors
///
/// The text has errors; all of them are returned, in the order of the lines.
pub fn parse_rules(text: &str, revision: Revision) -> Result<RuleSet, Vec<RuleError>> {
    let mut parser = RuleParser::new(revision);
    for (index, line) in text.lines().enumerate() {
        parser.read_line(index + 1, &split_line(line));
    }
    parser.finish()
}

/// State of parsing one rules file.
struct RuleParser {
    rules: RuleSet,
    errors: Vec<RuleError>,
    /// Number of the current line, from 1.
    line: usize,
}

/// Words of a rule after its kind and name: attributes with a value, and flags.
struct Attributes<'a> {
    words: &'a [Word],
    /// Indices of the words that belong to known attributes and flags.
    consumed: Vec<usize>,
}

impl RuleParser {
    fn new(revision: Revision) -> Self {
        let rules = RuleSet {
            revision,
            ..RuleSet::default()
        };
        Self {
            rules,
            errors: Vec::new(),
            line: 0,
        }
    }

    fn finish(self) -> Result<RuleSet, Vec<RuleError>> {
        if self.errors.is_empty() {
            Ok(self.rules)
        } else {
            Err(self.errors)
        }
    }

    fn report(&mut self, column: usize, message: impl Into<String>) {
        self.errors.push(RuleError {
            line: self.line,
            column,
            message: message.into(),
        });
    }

    fn read_line(&mut self, number: usize, line: &Line) {
        self.line = number;
        let Some(kind) = line.words.first() else {
            return;
        };
        if line.comment.as_deref().is_none_or(str::is_empty) {
            let end = line.words.last().map_or(1, |word| word.span.end + 1);
            self.report(end, "rule needs a comment that names who asked for it");
        }
        let Some(name) = line.words.get(1) else {
            self.report(kind.span.end + 1, "rule needs a name or path");
            return;
        };
        let mut attributes = Attributes {
            words: &line.words[2..],
            consumed: Vec::new(),
        };
        match kind.text.as_str() {
            "account" => self.read_account(name, &mut attributes),
            "key" => self.read_key(name, &mut attributes),
            "pool" => self.read_pool(name, &mut attributes),
            "route" => self.read_route(name, &mut attributes),
            other => {
                let message =
                    format!("unknown kind of rule `{other}`; expected account, key, pool or route");
                self.report(kind.column(), message);
                return;
            }
        }
        for word in attributes.unconsumed() {
            self.report(word.column(), format!("unexpected word `{}`", word.text));
        }
    }

    fn read_account(&mut self, name: &Word, attributes: &mut Attributes<'_>) {
        let rate = self.require_attribute::<u64>(
            name,
            attributes,
            "rate",
            "a whole number of tokens per second",
        );
        let burst =
            self.require_attribute::<u64>(name, attributes, "burst", "a whole number of tokens");
        let weight_range = format!(
            "a whole number from {} to {}",
            WEIGHT_RANGE.start(),
            WEIGHT_RANGE.end()
        );
        let weight = self.parse_attribute::<u32>(attributes, "weight", &weight_range);
        let account_name = AccountName::from(name.text.as_str());
        if self.rules.find_account(&account_name).is_some() {
            self.report(name.column(), "account is already defined");
            return;
        }
        let id = AccountId::from_name(&account_name);
        let mut known = self.rules.accounts.values();
        if let Some(other) = known.find(|known| AccountId::from_name(&known.name) == id) {
            let message = format!(
                "name has the same 32-bit id as account `{}`; choose another name",
                other.name
            );
            self.report(name.column(), message);
        }
        if weight.is_some_and(|weight| !WEIGHT_RANGE.contains(&weight)) {
            self.report(name.column(), format!("`weight` must be {weight_range}"));
        }
        if rate.is_some_and(|rate| rate > MAX_TOKENS)
            || burst.is_some_and(|burst| burst > MAX_TOKENS)
        {
            let message = format!("`rate` and `burst` must be at most {MAX_TOKENS}");
            self.report(name.column(), message);
        }
        let (Some(rate), Some(burst)) = (rate, burst) else {
            return;
        };
        self.rules.accounts.insert(Account {
            cache_salt: CacheSalt::of_account(&account_name),
            name: account_name,
            rate,
            burst,
            weight: weight.unwrap_or(1),
        });
    }

    fn read_key(&mut self, name: &Word, attributes: &mut Attributes<'_>) {
        let account = self.require_attribute::<String>(name, attributes, "account", "a name");
        let digest = self.require_attribute::<KeyDigest>(
            name,
            attributes,
            "digest",
            "64 hexadecimal digits",
        );
        if self.rules.keys.iter().any(|key| key.id == name.text) {
            self.report(name.column(), "key id is already defined");
        }
        if digest.is_some_and(|digest| self.rules.keys.iter().any(|key| key.digest == digest)) {
            self.report(name.column(), "digest is already used by another key");
        }
        let (Some(account), Some(digest)) = (account, digest) else {
            return;
        };
        let account_name = AccountName::from(account.as_str());
        let Some((account, _)) = self.rules.find_account(&account_name) else {
            let message = format!("account `{account_name}` is not defined above this line");
            self.report(name.column(), message);
            return;
        };
        self.rules.keys.push(ApiKey {
            id: name.text.clone(),
            account,
            digest,
        });
    }

    fn read_pool(&mut self, name: &Word, attributes: &mut Attributes<'_>) {
        let model = self.parse_attribute::<String>(attributes, "model", "a name");
        if self.rules.find_pool(&name.text).is_some() {
            self.report(name.column(), "pool is already defined");
        }
        self.rules.pools.push(Pool {
            name: name.text.clone(),
            model,
        });
    }

    fn read_route(&mut self, name: &Word, attributes: &mut Attributes<'_>) {
        let pool = self.require_attribute::<String>(name, attributes, "pool", "a name");
        let priority = self.parse_attribute::<i32>(attributes, "priority", "a whole number");
        // `open`: requests need no API key. `once`: a request must not run twice.
        let open = attributes.take_flag("open");
        let once = attributes.take_flag("once");
        if !name.text.starts_with('/') {
            self.report(name.column(), "path must begin with `/`");
        }
        if self
            .rules
            .routes
            .iter()
            .any(|route| route.prefix == name.text)
        {
            self.report(name.column(), "route is already defined");
        }
        let Some(pool) = pool else {
            return;
        };
        if self.rules.find_pool(&pool).is_none() {
            self.report(
                name.column(),
                format!("pool `{pool}` is not defined above this line"),
            );
        }
        self.rules.routes.push(Route {
            prefix: name.text.clone(),
            pool,
            open,
            once,
            priority: priority.unwrap_or(0),
        });
    }

    /// Parses a mandatory attribute; reports an error if it is missing.
    fn require_attribute<T: FromStr>(
        &mut self,
        name: &Word,
        attributes: &mut Attributes<'_>,
        attribute: &str,
        expected: &str,
    ) -> Option<T> {
        if !attributes.has(attribute) {
            self.report(
                name.span.end + 1,
                format!("rule needs `{attribute}`: {expected}"),
            );
            return None;
        }
        self.parse_attribute(attributes, attribute, expected)
    }

    /// Parses the value of an attribute. Returns `None` if the attribute is
    /// missing. If its value is missing or invalid, reports an error and returns
    /// `None`. `expected` describes a valid value.
    fn parse_attribute<T: FromStr>(
        &mut self,
        attributes: &mut Attributes<'_>,
        attribute: &str,
        expected: &str,
    ) -> Option<T> {
        let index = attributes.index_of(attribute)?;
        attributes.consumed.push(index);
        let words = attributes.words;
        let Some(value) = words.get(index + 1) else {
            let end = words[index].span.end + 1;
            self.report(end, format!("`{attribute}` needs a value: {expected}"));
            return None;
        };
        attributes.consumed.push(index + 1);
        match value.text.parse() {
            Ok(parsed) => Some(parsed),
            Err(_) => {
                self.report(value.column(), format!("`{attribute}` must be {expected}"));
                None
            }
        }
    }
}

impl<'a> Attributes<'a> {
    /// Returns the index of the first unconsumed word that equals `attribute`.
    fn index_of(&self, attribute: &str) -> Option<usize> {
        (0..self.words.len())
            .find(|index| !self.consumed.contains(index) && self.words[*index].text == attribute)
    }

    fn has(&self, attribute: &str) -> bool {
        self.index_of(attribute).is_some()
    }

    /// Consumes a flag. Returns whether it was present.
    fn take_flag(&mut self, flag: &str) -> bool {
        let index = self.index_of(flag);
        self.consumed.extend(index);
        index.is_some()
    }

    /// Returns the words that belong to no known attribute or flag.
    fn unconsumed(&self) -> impl Iterator<Item = &'a Word> {
        let words = self.words;
        let consumed = self.consumed.clone();
        (0..words.len())
            .filter(move |index| !consumed.contains(index))
            .map(|index| &words[index])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Result<RuleSet, Vec<RuleError>> {
        parse_rules(text, Revision(1))
    }

    #[test]
    fn parse_rules_every_kind() {
        let digest = KeyDigest::of_key(b"secret");
        let text = format!(
            "# first rules\n\
             account desk rate 100 burst 400 # the desk\n\
             key desk-1 account desk digest {digest} # the desk\n\
             pool drafting model cedar # the desk\n\
             route /v1/ pool drafting priority 3 # the desk\n\
             route /v1/open pool drafting open # the desk\n"
        );
        let rules = parse(&text).expect("rules are valid");
        let key = rules.find_key(&digest).expect("key is found by its digest");
        assert_eq!(rules.accounts[key.account].rate, 100);
        let route = rules
            .find_route("/v1/open/x")
            .expect("a route matches the path");
        assert!(route.open);
    }

    #[test]
    fn parse_rules_duplicate_digest() {
        let digest = KeyDigest::of_key(b"secret");
        let text = format!(
            "account desk rate 1 burst 1 # the desk\n\
             key k1 account desk digest {digest} # the desk\n\
             key k2 account desk digest {digest} # the desk\n"
        );
        let errors = parse(&text).expect_err("rules are invalid");
        assert_eq!((errors[0].line, errors[0].column), (3, 5));
    }

    #[test]
    fn parse_rules_numbers_out_of_range() {
        let text = "account a rate 1 burst 1 weight 0 # the desk\n\
                    account b rate 2000000000000 burst 1 # the desk\n";
        let errors = parse(text).expect_err("rules are invalid");
        let lines: Vec<usize> = errors.iter().map(|error| error.line).collect();
        assert_eq!(lines, [1, 2]);
    }

    #[test]
    fn parse_rules_reports_all_errors() {
        let text = "account desk rate x burst 4 # the desk\n\
                    pool drafting\n\
                    shelf one # the desk\n\
                    route v1 pool none tall # the desk\n";
        let errors = parse(text).expect_err("rules are invalid");
        let positions: Vec<(usize, usize)> = errors
            .iter()
            .map(|error| (error.line, error.column))
            .collect();
        assert_eq!(
            positions,
            [(1, 19), (2, 14), (3, 1), (4, 7), (4, 7), (4, 20)]
        );
    }
}
