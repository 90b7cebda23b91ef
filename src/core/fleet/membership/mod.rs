//! Keeps the list of backend servers, and decides from whom an entry reads it.

mod departure;
mod directory;
mod member;
mod member_log;
mod member_readers;

pub use departure::Departure;
pub use directory::Directory;
pub use directory::MemberChange;
pub use member::Member;
pub use member::MemberState;
pub use member_log::MemberLog;
pub use member_readers::MAX_READING_ENTRIES;
pub use member_readers::MemberSource;
pub use member_readers::choose_member_source;
