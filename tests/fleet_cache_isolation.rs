//! Salts of cached prompt parts while accounts become isolated and shared again.

use std::collections::HashMap;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use teaseldrum::core::AccountName;
use teaseldrum::core::WeightsVersion;
use teaseldrum::core::fleet::AccountRule;
use teaseldrum::core::fleet::CacheIsolation;

const VERSION: WeightsVersion = WeightsVersion(1);
const ACCOUNTS: [&str; 4] = ["a", "b", "c", "d"];

/// Accounts that are isolated in one configuration.
type Isolated = [bool; 4];

fn account_rule(name: &str, is_isolated: bool) -> AccountRule {
    AccountRule {
        name: AccountName::from(name),
        keys: Vec::new(),
        priority: None,
        rate: None,
        burst: 0,
        counts_tokens: false,
        tokens_per_plain_call: 0,
        is_isolated,
    }
}

fn isolation(isolated: Isolated) -> CacheIsolation {
    let rules = ACCOUNTS.iter().zip(isolated);
    let rules: Vec<AccountRule> = rules
        .map(|(name, is_isolated)| account_rule(name, is_isolated))
        .collect();
    CacheIsolation::from_accounts(&rules)
}

fn salt(isolated: Isolated, account: usize, was_isolated: bool) -> String {
    let name = AccountName::from(ACCOUNTS[account]);
    isolation(isolated)
        .find_salt(VERSION, Some(&name), was_isolated)
        .to_string()
}

const NONE: Isolated = [false; 4];
const FIRST: Isolated = [true, false, false, false];

/// Guards against parts that an account computed before it became isolated and that
/// others go on to use.
#[test]
fn find_salt_account_becomes_isolated_others_leave_its_parts() {
    let before = salt(NONE, 0, false);
    assert_eq!(salt(NONE, 1, false), before);
    assert_ne!(salt(FIRST, 0, false), before);
    assert_ne!(salt(FIRST, 1, false), before);
    assert_eq!(salt(FIRST, 1, false), salt(FIRST, 2, false));
    assert_ne!(salt(FIRST, 1, false), salt(FIRST, 0, false));
}

/// On the way back nobody finds what the account computed while it was isolated, and all
/// find what they shared before. A call that was read while the account was isolated
/// stays apart, and so does one that was read before it was.
#[test]
fn find_salt_account_shares_again_isolated_parts_stay_apart() {
    let isolated_parts = salt(FIRST, 0, false);
    assert!((0..4).all(|account| salt(NONE, account, false) == "v1"));
    assert_eq!(salt(NONE, 0, true), isolated_parts);
    assert_eq!(salt(FIRST, 0, false), isolated_parts);
}

/// Sets whose names only differ in where one ends have different salts, and so have a
/// set of one account and the account itself.
#[test]
fn find_salt_sets_alike_differ() {
    let rules = |names: &[&str]| {
        let accounts = names.iter().map(|name| account_rule(name, true));
        CacheIsolation::from_accounts(&accounts.collect::<Vec<_>>())
    };
    let shared = |names: &[&str]| rules(names).find_salt(VERSION, None, false).to_string();
    assert_ne!(shared(&["ab", "c"]), shared(&["a", "bc"]));
    assert_eq!(shared(&["c", "ab"]), shared(&["ab", "c"]));
    assert_ne!(shared(&["a"]).replace('-', "."), salt(FIRST, 0, false));
}

/// Drawn histories: configurations follow each other, three entries get them late, and
/// calls wait between their read and their send. No call of an entry with the newest
/// configuration finds a part of another account if either account is isolated in it.
#[test]
fn find_salt_drawn_histories_keep_isolated_accounts_apart() {
    let mut shared_uses = 0;
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut configurations = vec![NONE];
        let mut held = [0_usize; 3];
        // Accounts that computed the parts under each salt.
        let mut makers: HashMap<String, [bool; 4]> = HashMap::new();
        for _ in 0..60 {
            if rng.random_ratio(1, 6) {
                let mut next = configurations[configurations.len() - 1];
                next[rng.random_range(0..4_usize)] ^= true;
                configurations.push(next);
            }
            let entry = rng.random_range(0..3_usize);
            let newest = configurations.len() - 1;
            held[entry] = rng.random_range(held[entry]..=newest);
            let read_at = rng.random_range(0..=held[entry]);
            let account = rng.random_range(0..4_usize);
            let was_isolated = configurations[read_at][account];
            let salt = salt(configurations[held[entry]], account, was_isolated);
            let made_by = makers.entry(salt).or_default();
            if held[entry] == newest {
                let is_isolated = configurations[newest];
                for maker in (0..4).filter(|maker| *maker != account && made_by[*maker]) {
                    let is_apart = is_isolated[maker] || is_isolated[account];
                    assert!(!is_apart, "seed={seed} maker={maker} account={account}");
                    shared_uses += 1;
                }
            }
            made_by[account] = true;
        }
    }
    assert!(shared_uses > 10_000, "{shared_uses}");
}
