//! `teaseldrum key`: generates API keys of client accounts.

use argh::FromArgs;
use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use super::Exit;
use crate::core::KeyDigest;

/// Prefix by which a key can be recognized in texts.
const KEY_PREFIX: &str = "tdk_";

/// Random bytes in a key.
const KEY_BYTES: usize = 32;

/// Manage the keys of client accounts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct KeyCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    New(NewCommand),
}

/// Generate a key. It is printed once and stored nowhere; the rules hold only
/// its digest.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "new")]
struct NewCommand {
    /// client account that the key belongs to
    #[argh(option)]
    account: String,
    /// id of the key, which may appear in logs; random if left out
    #[argh(option)]
    id: Option<String>,
    /// comment for the rule line, such as who asked for the key
    #[argh(option, default = "String::from(\"asked by NAME\")")]
    comment: String,
}

impl KeyCommand {
    /// Runs the subcommand.
    pub fn run(self) -> Exit {
        match self.command {
            Subcommand::New(command) => command.run(),
        }
    }
}

impl NewCommand {
    fn run(self) -> Exit {
        if !is_single_word(&self.account) || !self.id.as_deref().is_none_or(is_single_word) {
            eprintln!("Account and id must not be empty or contain whitespace or `#`.");
            return Exit::InvalidInput;
        }
        let key = generate_key();
        println!("Key, shown only now: {key}");
        println!("Rule line: {}", self.format_rule_line(&key));
        Exit::Success
    }

    /// Returns the line of a rules file that admits the key. Line breaks in the
    /// comment become blanks.
    fn format_rule_line(&self, key: &str) -> String {
        let digest = KeyDigest::of_key(key.as_bytes());
        let generate_id = || format!("{}-{:08x}", self.account, rand::random::<u32>());
        let id = self.id.clone().unwrap_or_else(generate_id);
        let account = &self.account;
        let comment = self.comment.replace(['\n', '\r'], " ");
        format!("key {id} account {account} digest {digest} # {comment}")
    }
}

fn generate_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::random();
    format!("{KEY_PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes))
}

/// Tells whether the text fits into one field of a rule line, where whitespace
/// separates fields and `#` begins a comment.
fn is_single_word(text: &str) -> bool {
    !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c == '#')
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::core::Revision;
    use crate::rules::parse_rules;

    #[test]
    fn format_rule_line_opens_account() {
        let command = NewCommand {
            account: "desk".into(),
            id: None,
            comment: "asked by the desk".into(),
        };
        let key = generate_key();
        let rule = command.format_rule_line(&key);
        assert!(!rule.contains(&key));
        let text = format!("account desk rate 1 burst 1 # the desk\n{rule}\n");
        let rules = parse_rules(&text, Revision(1)).expect("valid rules");
        let found = rules.find_key(&KeyDigest::of_key(key.as_bytes()));
        assert!(found.is_some());
    }

    #[test]
    fn generate_key_returns_distinct_keys() {
        assert_ne!(generate_key(), generate_key());
    }
}
