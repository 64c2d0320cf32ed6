//! Stand-ins for what the platform and the callers provide, for tests, the demo and measuring.

pub mod caller;
pub mod embedded;
pub mod load;
pub mod stand_ins;
pub mod summary;
