//! Which client account a request runs for.

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

/// The account whose key came with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Principal {
    /// Account in the rule set that was asked.
    pub account_key: AccountKey,
    /// Name of the account.
    pub account: AccountName,
    /// Id of the key.
    pub key_id: String,
}

/// Finds the account whose key came with a request. A key that comes along on
/// an open route counts, if it is known; none is needed there.
///
/// # Errors
///
/// The route needs a key, and none or an unknown one came.
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
            "account desk rate 1 burst 1 # Asha\n\
             key k1 account desk digest {} # Asha\n\
             pool p # Asha\n\
             route / pool p # Asha\n\
             route /open pool p open # Asha\n",
            KeyDigest::of_key(b"secret")
        );
        parse_rules(&text, Revision(1)).expect("valid rules")
    }

    fn authenticate_path(
        path: &str,
        authorization: &'static str,
    ) -> Result<Option<Principal>, ErrorResponse> {
        let rules = make_rules();
        let route = rules.find_route(path).expect("a route");
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, HeaderValue::from_static(authorization));
        authenticate(&rules, route, &headers)
    }

    #[test]
    fn authenticate_known_key() {
        let principal = authenticate_path("/x", "Bearer secret").expect("allowed");
        assert_eq!(principal.expect("an account").key_id, "k1");
    }

    #[test]
    fn authenticate_unknown_key() {
        let error = authenticate_path("/x", "Bearer other").expect_err("refused");
        assert_eq!(error.code, ErrorCode::Unauthorized);
    }

    #[test]
    fn authenticate_open_route() {
        assert_eq!(authenticate_path("/open", "Bearer other"), Ok(None));
    }
}
