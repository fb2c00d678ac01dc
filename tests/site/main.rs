//! End-to-end tests of the router on the operators' platform.
//!
//! Real router processes run against stand-ins of the platform's store and endpoints, which
//! they reach through a proxy that injects faults.

mod caller;
mod calm;
mod cut;
mod deployment;
mod endless;
mod endpoints;
mod entry_supervisor;
mod faults;
mod hasty_store;
mod large_lists;
mod layout;
mod leaving;
mod limited;
mod logs;
mod long_heads;
mod long_turns;
mod lost;
mod many_connections;
mod memory;
mod no_status;
mod odd_answers;
mod odd_datagrams;
mod odd_entries;
mod odd_numbers;
mod own_end;
mod poison_again;
mod poison_outage;
mod poison_part;
mod process;
mod raw;
mod retries;
mod scarce;
mod soak;
mod start_orders;
mod starts;
mod store_era;
mod stuck_watches;
mod supervisor;
mod support;
mod unread_metrics;
mod unread_streams;
