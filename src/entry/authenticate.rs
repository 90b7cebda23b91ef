//! Finds the client account of a request by the API key in its headers.

use http::HeaderMap;
use http::header::AUTHORIZATION;

use super::ErrorCode;
use super::ErrorResponse;
use crate::core::AccountName;
use crate::core::KeyDigest;
use crate::rules::AccountKey;
use crate::rules::Route;
use crate::rules::RuleSet;

const BEARER_PREFIX: &[u8] = b"Bearer ";

/// The client account that a request runs for, and the API key that it sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Principal {
    /// Handle of the account, valid only in the rule set that was searched.
    pub account_key: AccountKey,
    /// Account name, valid across rule sets.
    pub account: AccountName,
    /// Id of the API key; the key itself is never passed on.
    pub key_id: String,
}

/// Finds the client account of a request by its bearer token. Open routes need
/// no API key, but a known one that is sent still selects its account.
///
/// # Errors
///
/// The route is not open, and the API key is missing or unknown.
pub fn authenticate(
    rules: &RuleSet,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Principal>, ErrorResponse> {
    let principal = find_principal(rules, headers);
    if principal.is_none() && !route.open {
        let message = "The route needs the key of a client account.";
        return Err(ErrorResponse::not_run(ErrorCode::Unauthorized, message));
    }
    Ok(principal)
}

fn find_principal(rules: &RuleSet, headers: &HeaderMap) -> Option<Principal> {
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let key = value.strip_prefix(BEARER_PREFIX)?;
    let found = rules.find_key(&KeyDigest::of_key(key))?;
    Some(Principal {
        account_key: found.account,
        account: rules.accounts[found.account].name.clone(),
        key_id: found.id.clone(),
    })
}

#[cfg(test)]
mod tests {
    use http::HeaderValue;

    use super::*;
    use crate::core::Revision;
    use crate::rules::parse_rules;

    fn make_rules() -> RuleSet {
        let text = format!(
            "account desk rate 1 burst 1 # the desk\n\
             key k1 account desk digest {} # the desk\n\
             pool p # the desk\n\
             route / pool p # the desk\n\
             route /open pool p open # the desk\n",
            KeyDigest::of_key(b"secret")
        );
        parse_rules(&text, Revision(1)).expect("the rules are valid")
    }

    fn authenticate_path(
        path: &str,
        authorization: &'static str,
    ) -> Result<Option<Principal>, ErrorResponse> {
        let rules = make_rules();
        let route = rules.find_route(path).expect("a route matches");
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, HeaderValue::from_static(authorization));
        authenticate(&rules, route, &headers)
    }

    #[test]
    fn authenticate_known_key() {
        let principal = authenticate_path("/x", "Bearer secret").expect("the key is known");
        assert_eq!(principal.expect("the key has an account").key_id, "k1");
    }

    #[test]
    fn authenticate_unknown_key() {
        let error = authenticate_path("/x", "Bearer other").expect_err("the key is unknown");
        assert_eq!(error.code, ErrorCode::Unauthorized);
    }

    #[test]
    fn authenticate_open_route() {
        assert_eq!(authenticate_path("/open", "Bearer other"), Ok(None));
    }
}
