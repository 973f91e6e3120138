//! Adoption of settings trees: only complete ones with a newer version. An unresponsive or stale service changes
//! nothing.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        pipeline::config_service::{ConfigClient, ConfigError},
        settings::tree::TreeVersion,
        shared::adoption::{DocumentIdentity, VersionVerdict, compare_versions},
    },
    hazelyoke_testutils::fixture::{Fixture, TREE, wait_for},
    std::time::Duration,
};

fn mark(version: u64, fingerprint: u64) -> DocumentIdentity<TreeVersion> {
    DocumentIdentity {
        version: TreeVersion(version),
        fingerprint,
    }
}

#[test]
fn upward_only() {
    assert_eq!(compare_versions(None, mark(5, 1)), VersionVerdict::Adopt);
    let current = Some(mark(5, 1));
    assert_eq!(compare_versions(current, mark(6, 2)), VersionVerdict::Adopt);
    assert_eq!(compare_versions(current, mark(5, 1)), VersionVerdict::Same);
    assert_eq!(compare_versions(current, mark(4, 1)), VersionVerdict::Older);
    assert_eq!(
        compare_versions(current, mark(5, 2)),
        VersionVerdict::Conflict
    );
    // The version counts before the fingerprint.
    assert_eq!(compare_versions(current, mark(6, 1)), VersionVerdict::Adopt);
    assert_eq!(compare_versions(current, mark(4, 2)), VersionVerdict::Older);
    assert_eq!(compare_versions(None, mark(0, 0)), VersionVerdict::Adopt);
}

#[tokio::test]
async fn change_in_force() {
    let mut fixture = Fixture::start().await;
    let (daemon, _caller) = fixture.daemon().await;
    fixture.root_settings = r#""priority": "low""#.to_owned();
    fixture.publish();
    let low = async || {
        let tree = daemon.node().tree();
        let customer = tree.customers.values().next().unwrap();
        customer.settings.priority.value.to_string() == "low"
    };
    wait_for("the change", low).await;
    // An older tree and an invalid one change nothing.
    let reads = fixture.config.reads();
    fixture.config.publish(TREE, fixture.tree(1));
    wait_for("reads of the stale tree", async || {
        fixture.config.reads() > reads + 3
    })
    .await;
    assert_eq!(daemon.node().tree().version, TreeVersion(2));
    fixture.config.publish(TREE, "{ \"version\": 9 }");
    wait_for("reads of the invalid tree", async || {
        fixture.config.reads() > reads + 8
    })
    .await;
    assert_eq!(daemon.node().tree().version, TreeVersion(2));
}

#[tokio::test]
async fn silent_service() {
    let fixture = Fixture::start().await;
    let (daemon, caller) = fixture.daemon().await;
    fixture.config.set_silent(true);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(daemon.node().tree().version, TreeVersion(1));
    assert_eq!(caller.get("/v1/ready").await.unwrap().status, 200);
}

#[tokio::test]
async fn unchanged_tree() {
    let fixture = Fixture::start().await;
    // The tree spans two values; the second is read again only when the first has changed.
    let root = |version: u64| {
        format!(
            r#"{{ "version": {version}, "name": "top", "groups": {{ "g": {{ "include": "part" }} }} }}"#
        )
    };
    let part = |name: &str| format!(r#"{{ "customers": {{ "{name}": {{}} }} }}"#);
    fixture.config.publish("part", part("first"));
    fixture.config.publish(TREE, root(1));
    let (daemon, _caller) = fixture.daemon().await;
    let reads = fixture.config.reads();
    wait_for("more reads", async || fixture.config.reads() >= reads + 5).await;
    fixture.config.publish("part", part("second"));
    fixture.config.publish(TREE, root(2));
    let known = async || {
        let tree = daemon.node().tree();
        tree.customers.keys().any(|id| id.as_str() == "second")
    };
    wait_for("the second version", known).await;
}

#[tokio::test]
async fn late_part() {
    let fixture = Fixture::start().await;
    // The root is published before the value that it includes. The tree is refused and read again until it is
    // complete.
    let root = r#"{ "version": 1, "name": "top", "groups": { "g": { "include": "part" } } }"#;
    fixture.config.publish(TREE, root);
    let daemon = hazelyoke_lib::pipeline::daemon::Daemon::start(fixture.daemon_settings("entry-1"));
    let daemon = daemon.unwrap();
    let reads = fixture.config.reads();
    wait_for("more reads", async || fixture.config.reads() >= reads + 5).await;
    assert_eq!(daemon.node().tree().version, TreeVersion(0));
    fixture.config.publish("part", "{}");
    wait_for("the whole tree", async || {
        daemon.node().tree().version == TreeVersion(1)
    })
    .await;
}

#[tokio::test]
async fn planned_stop() {
    let fixture = Fixture::start().await;
    let (daemon, caller) = fixture.daemon().await;
    for server in &fixture.endpoints["encoder"] {
        server.endpoint.faults.slow_down(100.0);
    }
    let slow = tokio::spawn({
        let caller = caller.clone();
        async move {
            let path = "/v1/services/encoder";
            let request = hazelyoke_testutils::http_client::CallerRequest::new(path, "market", "1");
            caller.post(request).await
        }
    });
    wait_for("the request", async || daemon.node().in_flight() == 1).await;
    daemon.stop().await;
    assert_eq!(slow.await.unwrap().unwrap().status, 200);
}

/// A name from a settings tree went into the path of a request as it was: with a question mark, another value was read.
#[tokio::test]
async fn odd_value_names() {
    let fixture = Fixture::start().await;
    let client = ConfigClient::new(fixture.config.address());
    assert!(client.fetch_value(TREE).await.is_ok());
    for end in ["?x", "#x", "%", " ", "/../x", "\r\nx: y"] {
        let name = format!("{TREE}{end}");
        let error = client.fetch_value(&name).await.unwrap_err();
        assert!(
            matches!(error, ConfigError::InvalidName { .. }),
            "{name:?}: {error}"
        );
    }
}
