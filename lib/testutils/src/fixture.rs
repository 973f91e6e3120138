//! A complete small installation on loopback: configuration service, endpoints, daemons.
//!
//! Functions panic if something can't be started, because only tests and the bench call them.

use {
    crate::{
        config_service::ConfigService,
        endpoint::EndpointServer,
        engine::{self, EngineModel},
        expect::Step,
        http_client::Caller,
        plain::{self, Answers, PlainModel},
        test_log,
    },
    hazelyoke_lib::{
        pipeline::{
            api::context::ApiLimits,
            daemon::Daemon,
            daemon_settings::{ConfigSettings, DaemonSettings, TraceSettings},
        },
        shared::units::{ByteSize, Count, Millis, Share},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Timeout of [`wait_for`], far longer than the conditions take.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Name of the model that the fixture's engines serve.
pub const MODEL: &str = "small";

/// Number of tokens of one generation in the fixture.
pub const TOKENS: u32 = 8;

/// Name of the tree's root value.
pub const TREE: &str = "tree.jsonc";

/// Customers of the tree. One of them has a rate limit that a second request exceeds.
const CUSTOMERS: &str = r#"  "customers": {
    "market": {},
    "tiny": { "settings": { "rate": "1/s" } }
  }"#;

/// Pipelines of the tree.
const PIPELINES: &str = r#"  "pipelines": {
    "summary": {
      "stages": [
        { "name": "encode", "service": "encoder" },
        { "name": "retrieve", "service": "retriever" },
        { "name": "rerank", "service": "reranker" },
        { "name": "generate", "service": "llm" }
      ]
    },
    "checkout": {
      "stages": [
        { "name": "encode", "service": "encoder" },
        { "name": "pay", "service": "pay" }
      ]
    }
  }"#;

/// A small installation: two endpoints per service, a pipeline of four stages and one of two.
pub struct Fixture {
    /// The configuration service.
    pub config: ConfigService,
    /// Endpoints by service.
    pub endpoints: BTreeMap<&'static str, Vec<EndpointServer>>,
    /// Settings that the tree's root overrides, as JSON fields.
    pub root_settings: String,
    version: u64,
}

/// Returns the address to bind for any free port on loopback.
pub fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Names of the fixture's plain services.
pub const PLAIN_SERVICES: [&str; 4] = ["encoder", "retriever", "reranker", "pay"];

impl Fixture {
    /// Starts the endpoints and the configuration service, and publishes the tree.
    pub async fn start() -> Self {
        test_log::start();
        let mut endpoints = BTreeMap::new();
        for service in PLAIN_SERVICES {
            let model = PlainModel {
                checks_keys: service == "pay",
                ..Default::default()
            };
            endpoints.insert(service, start_plain(service, model).await);
        }
        endpoints.insert("llm", start_engines().await);
        let config = ConfigService::start().await;
        let mut fixture = Self {
            config: config.expect("loopback has free ports"),
            endpoints,
            root_settings: String::new(),
            version: 0,
        };
        fixture.publish();
        fixture
    }

    /// Publishes the tree with the next version.
    pub fn publish(&mut self) {
        self.version += 1;
        self.config.publish(TREE, self.tree(self.version));
    }

    /// Returns the text of the tree, with the endpoints that are running now.
    pub fn tree(&self, version: u64) -> String {
        let settings = &self.root_settings;
        let services: Vec<_> = self
            .endpoints
            .iter()
            .map(|(service, endpoints)| service_json(service, endpoints))
            .collect();
        let services = services.join(",\n");
        format!(
            r#"{{
  "version": {version},
  "name": "small",
  "data_centres": ["north", "south"],
  "settings": {{ {settings} }},
  "services": {{
{services}
  }},
{CUSTOMERS},
{PIPELINES}
}}"#
        )
    }

    /// Returns the settings of a daemon of this installation.
    pub fn daemon_settings(&self, name: &str) -> DaemonSettings {
        DaemonSettings {
            host: name.parse().expect("a host name"),
            data_centre: "north".parse().expect("a data centre"),
            listen: any_address(),
            config: ConfigSettings {
                address: self.config.address(),
                tree: TREE.to_owned(),
                poll: Millis(50),
            },
            hop: Millis(1),
            load_interval: Millis(50),
            limits: ApiLimits {
                max_requests: Count(1_000),
                max_headers: ByteSize(16 << 10),
                receive_timeout: Millis(2_000),
            },
            stop_grace: Millis(50),
            traces: None,
        }
    }

    /// Starts a daemon and waits until it is ready.
    pub async fn daemon(&self) -> (Daemon, Caller) {
        start_daemon(self.daemon_settings("entry-1")).await
    }

    /// Starts a daemon that exports all of its spans.
    pub async fn traced_daemon(&self, collector: SocketAddr) -> (Daemon, Caller) {
        let mut settings = self.daemon_settings("entry-1");
        settings.traces = Some(TraceSettings {
            collector: format!("http://{collector}"),
            sample: Share(1.0),
        });
        start_daemon(settings).await
    }
}

/// Starts a daemon and waits until it is ready.
pub async fn start_daemon(settings: DaemonSettings) -> (Daemon, Caller) {
    let daemon = Daemon::start(settings).expect("loopback has free ports");
    let caller = Caller::new(daemon.address());
    wait_for("the daemon to be ready", async || {
        let reply = caller.get("/v1/ready").await;
        reply.is_ok_and(|reply| reply.status.is_success())
    })
    .await;
    (daemon, caller)
}

/// Waits until `check` returns true.
///
/// # Panics
///
/// Panics with the description `what` if `check` doesn't return true within 20 seconds.
pub async fn wait_for(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let waited = tokio::time::timeout(WAIT_TIMEOUT, async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    assert!(waited.await.is_ok(), "waited in vain for {what}");
}

/// Returns the steps of the pipeline `summary`, from which `expect` computes the expected answer.
pub fn summary_steps() -> Vec<Step> {
    vec![
        Step::Plain("encoder".into()),
        Step::Plain("retriever".into()),
        Step::Plain("reranker".into()),
        Step::Engine(MODEL.into(), TOKENS),
    ]
}

async fn start_plain(service: &str, model: PlainModel) -> Vec<EndpointServer> {
    let mut servers = Vec::new();
    let answers = Answers::default();
    for _ in 0..2 {
        let server = plain::start_sharing(service, any_address(), model, answers.clone()).await;
        servers.push(server.expect("loopback has free ports"));
    }
    servers
}

async fn start_engines() -> Vec<EndpointServer> {
    let model = EngineModel {
        tokens: TOKENS,
        ..Default::default()
    };
    let mut engines = Vec::new();
    for _ in 0..2 {
        let engine = engine::start(MODEL, any_address(), model).await;
        engines.push(engine.expect("loopback has free ports"));
    }
    engines
}

fn service_json(service: &str, endpoints: &[EndpointServer]) -> String {
    let kind = match service {
        "llm" => format!(r#""kind": "engine", "model": "{MODEL}""#),
        "pay" => {
            let settings = r#"{ "repeatable": false, "guard": "endpoint" }"#;
            format!(r#""kind": "plain", "settings": {settings}"#)
        }
        _ => r#""kind": "plain""#.to_owned(),
    };
    let endpoints: Vec<_> = endpoints
        .iter()
        .enumerate()
        .map(|(i, server)| {
            let data_centre = ["north", "south"][i % 2];
            let address = server.address();
            format!(
                r#"      "{service}-{i}": {{ "address": "{address}", "data_centre": "{data_centre}" }}"#
            )
        })
        .collect();
    format!(
        "    \"{service}\": {{ {kind}, \"endpoints\": {{\n{}\n    }} }}",
        endpoints.join(",\n")
    )
}
