//! Text of a rules file with many accounts.

use teaseldrum::core::KeyDigest;

const KEYS_PER_ACCOUNT: usize = 2;
const POOLS: usize = 29;

/// Returns the rules for a number of accounts. Texts of successive `change`
/// numbers differ only in account rates: change N raises the rate of account
/// `N % accounts` and resets that of the account before.
pub fn make_rules_text(accounts: usize, change: usize) -> String {
    let mut text = String::new();
    for account in 0..accounts {
        let rate = if account == change % accounts {
            change + 1
        } else {
            1
        };
        text += &format!("account a{account} rate {rate} burst 1000 # asked by desk\n");
        for key in 0..KEYS_PER_ACCOUNT {
            let id = format!("a{account}-{key}");
            let digest = KeyDigest::of_key(id.as_bytes());
            text += &format!("key {id} account a{account} digest {digest} # asked by desk\n");
        }
    }
    for pool in 0..POOLS {
        text += &format!("pool p{pool} model m{pool} # asked by desk\n");
        text += &format!("route /v1/p{pool}/ pool p{pool} # asked by desk\n");
    }
    text
}
