//! trestleknot: a dispatcher for sub-second tasks.
//!
//! Callers submit jobs to an *entry*. Entries place the tasks of a job on *targets* through the
//! *agent* beside each target. The modules form layers, and each layer uses only those before it:
//!
//! - shared types: [`ids`], [`job`], [`message`], [`vm_list`], [`status`], [`events`],
//!   [`counters`];
//! - state and policies: [`ledger`], [`slot_table`], [`target_table`], [`job_table`],
//!   [`placement`], [`admission`], [`run_time`], [`quota`], [`health`], [`permit`],
//!   [`config_document`], [`config_chain`], [`job_history`], [`frame_order`], [`outbox`];
//! - cores, which are deterministic state machines: [`entry`] (with the `entry_*` modules) and
//!   [`agent`] (with `agent_*`).
//!
//! Batches on the users' platform have their own layers, which docs/design/platform.md explains:
//!
//! - shared types: [`clock`], [`resources`], [`run`], [`queue`], [`batch`], [`payload`],
//!   [`run_message`];
//! - state: [`adaptive_timeout`], [`payload_cache`], [`entry_discovery`], [`run_table`],
//!   [`target_lease`], [`capacity_shares`], [`wait_forecast`], [`entry_leases`],
//!   [`preferred_entries`], [`evacuations`], [`link_load`], [`crash_history`],
//!   [`crash_notices`], [`batch_table`],
//!   [`target_registry`], [`peer_table`], [`runs_notices`], [`config_fetch`],
//!   [`deferred_batches`], [`entry_directory`], [`entry_drain`];
//! - cores: [`batch_entry`] and [`run_agent`], with their events and actions in [`batch_event`] and
//!   [`run_event`], and the choice of targets in [`batch_placing`];
//! - runtime: [`platform_ports`], [`node_links`], [`core_timer`], [`entry_node`],
//!   [`agent_node`], [`log_writer`], [`node_metrics`].

pub mod active_batch;
pub mod adaptive_timeout;
pub mod admission;
pub mod agent;
pub mod agent_daemon;
pub mod agent_node;
mod agent_runs;
mod agent_sessions;
pub mod apply;
pub mod backlog_monitor;
pub mod batch;
pub mod batch_entry;
pub mod batch_event;
pub mod batch_placing;
pub mod batch_table;
pub mod caller_connections;
pub mod capacity_shares;
pub mod clock;
pub mod codec;
pub mod config_chain;
pub mod config_document;
pub mod config_fetch;
pub mod core_thread;
pub mod core_timer;
pub mod counters;
pub mod crash_history;
pub mod crash_notices;
pub mod deferred_batches;
pub mod dispatch_reports;
pub mod end_numbers;
pub mod entry;
pub mod entry_daemon;
pub mod entry_directory;
pub mod entry_discovery;
pub mod entry_drain;
pub mod entry_input;
mod entry_jobs;
pub mod entry_leases;
pub mod entry_links;
pub mod entry_load;
pub mod entry_node;
mod entry_peers;
pub mod entry_permits;
pub mod entry_platform;
mod entry_router;
pub mod entry_targets;
pub mod evacuations;
pub mod events;
pub mod frame_order;
pub mod handover_giver;
pub mod handover_receiver;
pub mod handover_share;
pub mod handshake;
pub mod health;
pub mod http_answer;
pub mod http_api;
pub mod http_platform;
pub mod ids;
pub mod job;
pub mod job_history;
pub mod job_table;
pub mod json;
pub mod ledger;
pub mod link_auth;
pub mod link_load;
pub mod link_uses;
pub mod log_line;
pub mod log_summary;
pub mod log_writer;
pub mod loop_sampler;
pub mod memory_platform;
pub mod memory_target;
pub mod message;
pub mod node_links;
pub mod node_metrics;
pub mod outbox;
pub mod own_claims;
pub mod payload;
pub mod payload_cache;
pub mod peer_table;
pub mod permit;
pub mod placement;
pub mod platform;
pub mod platform_lists;
pub mod platform_ports;
pub mod platform_thread;
pub mod preferred_entries;
pub mod queue;
pub mod quota;
pub mod released_batches;
pub mod remembered_cancels;
pub mod request_timeline;
pub mod resources;
pub mod restart_gaps;
pub mod retry_detector;
pub mod ring;
pub mod run;
pub mod run_agent;
pub mod run_announcements;
pub mod run_event;
pub mod run_message;
pub mod run_numbers;
pub mod run_table;
pub mod run_time;
pub mod runs_notices;
pub mod session_links;
pub mod settings;
pub mod skipped_input;
pub mod slot_table;
pub mod status;
pub mod target_health;
pub mod target_incarnation;
pub mod target_incarnations;
pub mod target_lease;
pub mod target_registry;
pub mod target_speeds;
pub mod target_table;
pub mod telemetry;
pub mod timings;
pub mod trace;
pub mod unnamed_links;
pub mod vm_list;
pub mod wait_forecast;
pub mod withheld_answers;
pub mod witnessed_runs;
pub mod worker_threads;
