//! trestleknot: a dispatcher for sub-second tasks.
//!
//! Callers submit jobs to an *entry*; entries place the tasks of a job on *targets* through the
//! *agent* beside each. The modules come in layers, each using only those before it:
//!
//! - words: [`ids`], [`job`], [`message`], [`vm_list`], [`status`], [`events`], [`counters`];
//! - parts of the decisions: [`ledger`], [`slot_book`], [`target_table`], [`job_table`],
//!   [`placement`], [`admission`], [`run_time`], [`quota`], [`health`], [`permit`],
//!   [`config_document`], [`config_chain`], [`journal`], [`frame_order`], [`outbox`];
//! - the cores, deterministic state machines: [`entry`] (with the `entry_*` modules) and
//!   [`agent`].

pub mod admission;
pub mod agent;
pub mod config_chain;
pub mod config_document;
pub mod counters;
pub mod entry;
mod entry_jobs;
mod entry_peers;
pub mod entry_permits;
pub mod entry_platform;
pub mod entry_targets;
pub mod events;
pub mod frame_order;
pub mod health;
pub mod ids;
pub mod job;
pub mod job_table;
pub mod journal;
pub mod json;
pub mod ledger;
pub mod message;
pub mod outbox;
pub mod permit;
pub mod placement;
pub mod quota;
pub mod run_time;
pub mod slot_book;
pub mod status;
pub mod target_table;
pub mod vm_list;
