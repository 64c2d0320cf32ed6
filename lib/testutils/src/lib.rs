//! Stand-ins for the platform and the callers, for tests, the demo and benchmarks.

pub mod caller;
pub mod central_queue;
pub mod embedded;
pub mod fault_proxy;
pub mod faults;
pub mod foreign_writer;
pub mod invariants;
pub mod load;
pub mod load_replay;
pub mod matrix;
pub mod platform_stand_ins;
pub mod process_fleet;
pub mod run_fleet;
pub mod run_target;
pub mod scenario;
pub mod stand_ins;
pub mod summary;
pub mod target_reports;
pub mod virtual_fleet;
