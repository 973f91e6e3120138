//! Tests which changed settings take effect while a daemon runs.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use hazelyoke_lib::{
    gateway::{
        rules::{allowed_regions::Regions, retry_budget::BudgetLimits},
        serving::{
            reload::{Reload, SettingField, SettingFields},
            settings::{Bounds, ColdBounds, GatewaySettings},
        },
    },
    shared::units::{ByteSize, Capacity, Millis, Share},
};

fn settings() -> GatewaySettings {
    GatewaySettings {
        host: "one".parse().unwrap(),
        data_centre: "here".parse().unwrap(),
        regions: Regions::default(),
        listen: "127.0.0.1:1".parse().unwrap(),
        ready: "127.0.0.1:2".parse().unwrap(),
        operator: None,
        metrics: None,
        advertised: None,
        peer: "127.0.0.1:3".parse().unwrap(),
        seeds: Vec::new(),
        grace: Millis(8_000),
        budget: BudgetLimits {
            ratio: Share(0.2),
            slack: 50.0,
            window: Millis(10_000),
        },
        bounds: Bounds {
            apply: Millis(2_000),
            drain: Millis(2_000),
            endpoint_heartbeat: Millis(1_200),
            cold: ColdBounds {
                overage: 1.5,
                slack: 5.0,
            },
        },
        capacity: Capacity::from_cores(0.25),
        memory: ByteSize(256 << 20),
        link: None,
    }
}

#[test]
fn changes_applied() {
    let current = settings();
    let mut read = current.clone();
    read.seeds.push("127.0.0.2:3".parse().unwrap());
    read.grace = Millis(20_000);
    read.budget.slack = 10.0;
    read.bounds.drain = Millis(1_000);
    let reload = Reload::new(&current, &read);
    assert_eq!(reload.settings, read);
    assert_eq!(reload.applied.to_string(), "seeds,grace,budget,bounds");
    assert_eq!(reload.deferred, SettingFields::default());
}

#[test]
fn fixed_fields() {
    let current = settings();
    let mut read = current.clone();
    read.host = "two".parse().unwrap();
    read.data_centre = "there".parse().unwrap();
    read.listen = "127.0.0.1:11".parse().unwrap();
    read.ready = "127.0.0.1:12".parse().unwrap();
    read.operator = Some("127.0.0.1:14".parse().unwrap());
    read.metrics = Some("127.0.0.1:15".parse().unwrap());
    read.peer = "127.0.0.1:13".parse().unwrap();
    read.capacity = Capacity::from_cores(1.0);
    let reload = Reload::new(&current, &read);
    assert_eq!(reload.settings, current);
    assert_eq!(reload.applied, SettingFields::default());
    let all = "host,data_centre,listen,ready,operator,metrics,peer,capacity";
    assert_eq!(reload.deferred.to_string(), all);
}

#[test]
fn chosen_port() {
    let current = settings();
    let mut read = current.clone();
    // Port 0 lets the system choose the port; the bound port is the one that it chose.
    read.peer.set_port(0);
    assert_eq!(Reload::new(&current, &read).deferred.0, []);
    read.peer.set_ip("127.0.0.9".parse().unwrap());
    let deferred = Reload::new(&current, &read).deferred;
    assert_eq!(deferred.0, [SettingField::Peer]);
}
