//! Messages between entries about shares.

use serde::Deserialize;
use serde::Serialize;

use super::AccountId;
use crate::core::ProcessIncarnation;

/// One message from an entry to another about shares. Each is safe to lose,
/// to deliver late and to deliver twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ShareMessage {
    /// The sender's parts of these groups are at home and may be borrowed.
    #[serde(rename = "o")]
    OfferLoans {
        /// Groups.
        groups: Vec<u16>,
    },
    /// The sender keeps these groups and wants the receiver's parts of them.
    #[serde(rename = "b")]
    RequestLoans {
        /// Number of the request, drawn by the sender.
        number: u64,
        /// Groups.
        groups: Vec<u16>,
    },
    /// The sender lends its parts, in answer to a `RequestLoans`.
    #[serde(rename = "l")]
    Lend {
        /// Number of the request.
        number: u64,
        /// Slots in the parts.
        slots: u16,
        /// Groups lent, each with the number of its loan.
        loans: Vec<GroupLoan>,
        /// Tokens that come along.
        levels: Vec<AccountTokens>,
    },
    /// The sender gives a loan back before its end.
    #[serde(rename = "r")]
    ReturnLoan {
        /// Loan given back.
        loan: GroupLoan,
        /// Tokens that come along.
        levels: Vec<AccountTokens>,
    },
    /// The sender wants tokens.
    #[serde(rename = "a")]
    RequestGrants {
        /// Number of the request, drawn by the sender.
        number: u64,
        /// Tokens wanted.
        items: Vec<GrantRequestItem>,
        /// Milliseconds for which the sender would use the tokens, counted
        /// from before it sent the request.
        life_ms: u32,
        /// Earlier grants that the sender has done with.
        closes: Option<ReleasedGrants>,
    },
    /// The sender grants tokens, in answer to an `RequestGrants`.
    #[serde(rename = "g")]
    Grant {
        /// Number of the request.
        number: u64,
        /// Tokens granted; an account left out gets none.
        items: Vec<GrantItem>,
    },
}

/// One loan of one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupLoan {
    /// Group lent.
    pub group: u16,
    /// Number of the loan at the lender.
    pub loan: u64,
}

/// Tokens of one account that move with a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTokens {
    /// Account.
    pub account: AccountId,
    /// Tokens.
    pub tokens: u64,
}

/// Tokens wanted for one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequestItem {
    /// Account.
    pub account: AccountId,
    /// Tokens below which a grant is of no use now.
    pub need: u64,
    /// Tokens that would be of use soon, the need included.
    pub want: u64,
}

/// Tokens granted for one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantItem {
    /// Account.
    pub account: AccountId,
    /// Number of the grant at the giver.
    pub grant: u64,
    /// Tokens.
    pub tokens: u64,
}

/// Grants of one run of an entry that their receiver has done with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedGrants {
    /// Run that gave them.
    #[serde(rename = "run")]
    pub incarnation: ProcessIncarnation,
    /// Grants.
    pub items: Vec<ReleasedGrant>,
}

/// A grant that its receiver has done with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedGrant {
    /// Account.
    pub account: AccountId,
    /// Number of the grant at the giver.
    pub grant: u64,
    /// Tokens left over.
    pub unused: u64,
}
