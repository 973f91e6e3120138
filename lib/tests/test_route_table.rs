//! Tests which route a request takes and which customer its key belongs to.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::table::{
            Backend, CustomerEntry, IngressLimits, Route, RouteKind, ServiceEntry, Table,
        },
        shared::units::{ByteSize, Millis},
    },
    std::sync::Arc,
};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Millis(1_000),
        objective: Millis(100),
        rank: 0,
        backends: vec![Backend {
            service: "s".parse().unwrap(),
            weight: 1.0,
        }],
        attempts: 2,
        stages: Vec::new(),
        public: false,
        affinity: false,
        allowed_regions: None,
    }
}

fn table() -> Table {
    let customer = Arc::new(CustomerEntry {
        id: "c".parse().unwrap(),
        rank: 1,
        allowed_regions: None,
    });
    Table::new(
        7,
        vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/"),
        ],
        vec![ServiceEntry {
            id: "s".parse().unwrap(),
            connections: 10,
            engine: false,
            cold_start: Millis(0),
            cold_rate: None,
            batch: None,
        }],
        Some(vec![("key".into(), customer)]),
        IngressLimits {
            head: ByteSize(1024),
            body: ByteSize(1024),
            head_time: Millis(1_000),
            idle: Millis(1_000),
        },
    )
}

fn name(table: &Table, host: &str, path: &str) -> Option<String> {
    table.route(host, path).map(|route| route.name.to_string())
}

#[test]
fn longest_prefix_wins() {
    let table = table();
    assert_eq!(name(&table, "a.example", "/x/1").as_deref(), Some("short"));
    assert_eq!(name(&table, "a.example", "/x/y/1").as_deref(), Some("long"));
    assert_eq!(name(&table, "a.example", "/x/y").as_deref(), Some("short"));
    assert_eq!(name(&table, "a.example", "/xy/1"), None);
    assert_eq!(name(&table, "a.example", "/x"), None);
}

/// Hosts are compared ignoring case and port.
#[test]
fn host_comparison() {
    let table = table();
    assert_eq!(name(&table, "B.Example", "/x/1").as_deref(), Some("other"));
    assert_eq!(
        name(&table, "b.example:8080", "/x/1").as_deref(),
        Some("other")
    );
    assert_eq!(name(&table, "c.example", "/x/1"), None);
    assert_eq!(name(&table, "b.example:x", "/x/1"), None);
}

#[test]
fn keys_name_customers() {
    let table = table();
    assert!(table.needs_keys());
    assert_eq!(
        table.customer("key").map(|c| c.id.to_string()).as_deref(),
        Some("c")
    );
    assert!(table.customer("other").is_none());
    assert!(table.customer("").is_none());
}
