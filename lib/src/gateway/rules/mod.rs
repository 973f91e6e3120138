//! The decision rules of the forwarding daemon, one module each: pure functions and values.
//!
//! A rule has no clock, socket, log or shared state; it takes times and loads as arguments. Rules import each other and
//! plain values (the table, prompts, directory entries), never the code that carries out their decisions.
//! `docs/DECISIONS.md` maps events in the log to the rules behind them.

pub mod admission;
pub mod allowed_regions;
pub mod attempt_timeout;
pub mod backend_choice;
pub mod backlog;
pub mod body_memory;
pub mod brittle_endpoint;
pub mod calibration;
pub mod call_fill;
pub mod call_length;
pub mod call_spacing;
pub mod call_timing;
pub mod catch_up;
pub mod cold_share;
pub mod connection_loan;
pub mod connections;
pub mod coordinator;
pub mod customer_share;
pub mod directory_reads;
pub mod distance;
pub mod eligibility;
pub mod endpoint_choice;
pub mod endpoint_cooldown;
pub mod endpoint_exclusion;
pub mod endpoint_rate;
pub mod endpoint_reach;
pub mod endpoint_slowdown;
pub mod engine_model;
pub mod engine_speed;
pub mod fetch_turn;
pub mod gossip;
pub mod handover;
pub mod holders;
pub mod liveness;
pub mod outcome;
pub mod piece_cost;
pub mod piece_group;
pub mod piece_order;
pub mod piece_retry;
pub mod prefill_rate;
pub mod quarantine;
pub mod ratio_sketch;
pub mod reply_proof;
pub mod reported_slowdown;
pub mod request_region;
pub mod reservation;
pub mod result_capacity;
pub mod resume;
pub mod retry;
pub mod retry_after;
pub mod retry_budget;
pub mod shutdown;
pub mod stage_objective;
pub mod stage_placement;
pub mod stall;
pub mod stream_origin;
pub mod table_upload;
pub mod tight_objective;
pub mod time_limits;
pub mod unconfirmed_entry;
pub mod urgency;
pub mod worker_slowdown;
