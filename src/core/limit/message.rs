//! Messages by which entries lend shares and grant tokens to each other.

use serde::Deserialize;
use serde::Serialize;

use super::AccountId;
use crate::core::ProcessIncarnation;

/// Message between two entries about shares. Losing, delaying or repeating one
/// never lets an account exceed its allowance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareMessage {
    /// The sender's shares of these groups are not lent and can be borrowed.
    #[serde(rename = "o")]
    OfferLoans {
        /// Groups offered, which the receiver is expected to coordinate.
        groups: Vec<u16>,
    },
    /// The sender coordinates these groups and requests the receiver's shares
    /// of them.
    #[serde(rename = "b")]
    RequestLoans {
        /// Id chosen by the sender and repeated in the answer.
        #[serde(rename = "number")]
        request_id: u64,
        /// Groups to borrow, or whose loans to renew.
        groups: Vec<u16>,
    },
    /// The sender lends its shares, in answer to `RequestLoans`.
    #[serde(rename = "l")]
    Lend {
        /// Id of the answered request.
        #[serde(rename = "number")]
        request_id: u64,
        /// Slots that the sender holds, which is the size of its share.
        slots: u16,
        /// Loans given or renewed; requested groups that are missing were not
        /// lent.
        loans: Vec<GroupLoan>,
        /// Tokens transferred with the loans that are new.
        levels: Vec<AccountTokens>,
    },
    /// The sender returns a loan before its expiry.
    #[serde(rename = "r")]
    ReturnLoan {
        /// Loan returned.
        loan: GroupLoan,
        /// Tokens transferred back with it.
        levels: Vec<AccountTokens>,
    },
    /// The sender requests tokens.
    #[serde(rename = "a")]
    RequestGrants {
        /// Id chosen by the sender and repeated in the answer.
        #[serde(rename = "number")]
        request_id: u64,
        /// Tokens requested, by account.
        items: Vec<GrantRequestItem>,
        /// Milliseconds for which the sender will use the tokens, counted from
        /// before it sent the request.
        #[serde(rename = "life_ms")]
        lifetime_ms: u32,
        /// Earlier grants from the receiver that the sender no longer uses.
        #[serde(rename = "closes")]
        released: Option<ReleasedGrants>,
    },
    /// The sender grants tokens, in answer to `RequestGrants`.
    #[serde(rename = "g")]
    Grant {
        /// Id of the answered request.
        #[serde(rename = "number")]
        request_id: u64,
        /// Tokens granted. A requested account that is missing has none yet; a
        /// later message may grant them.
        items: Vec<GrantItem>,
    },
}

/// Identifies one loan of one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupLoan {
    /// Group lent.
    pub group: u16,
    /// Id of the loan at the lender; a renewal keeps it.
    #[serde(rename = "loan")]
    pub loan_id: u64,
}

/// Tokens of one account that move with a loan, or to the next holder of a
/// slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTokens {
    /// Account that the tokens belong to.
    pub account: AccountId,
    /// Whole tokens; fractions are dropped.
    pub tokens: u64,
}

/// Tokens requested for one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequestItem {
    /// Account that needs them.
    pub account: AccountId,
    /// Smallest grant that is useful now.
    #[serde(rename = "need")]
    pub min_tokens: u64,
    /// Tokens that will be used soon, including the minimum.
    #[serde(rename = "want")]
    pub desired_tokens: u64,
}

/// Tokens granted for one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantItem {
    /// Account that the grant is for.
    pub account: AccountId,
    /// Id of the grant at the issuer.
    #[serde(rename = "grant")]
    pub grant_id: u64,
    /// Tokens granted.
    pub tokens: u64,
}

/// Grants that their holder no longer uses, returned to the process that issued
/// them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedGrants {
    /// Incarnation of the issuer; another incarnation ignores the list.
    #[serde(rename = "run")]
    pub incarnation: ProcessIncarnation,
    /// Grants released.
    pub items: Vec<ReleasedGrant>,
}

/// A grant that its holder no longer uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedGrant {
    /// Account that the grant was for.
    pub account: AccountId,
    /// Id of the grant at the issuer.
    #[serde(rename = "grant")]
    pub grant_id: u64,
    /// Tokens returned to the issuer.
    #[serde(rename = "unused")]
    pub unused_tokens: u64,
}
