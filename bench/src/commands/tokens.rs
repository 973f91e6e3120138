//! `hazelyoke-bench tokens`: processor time of passing one token through a daemon.

use {
    crate::process::processor_time,
    anyhow::{Result, anyhow},
    argh::FromArgs,
    hazelyoke_lib::{pipeline::endpoints::wire, shared::sse::EventReader},
    hazelyoke_testutils::{
        engine::{self, EngineModel},
        fixture::{Fixture, MODEL, any_address},
        http_client::{Caller, CallerRequest},
    },
    http_body_util::BodyExt,
    std::time::Duration,
};

/// Tokens of one stream.
const TOKENS: u32 = 500;

/// Rounds; the median counts.
const ROUNDS: usize = 5;

/// processor time of one token through a daemon, against the same stream read directly
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "tokens")]
pub struct Tokens {
    /// streams at the same time
    #[argh(option, default = "100")]
    streams: usize,
}

impl Tokens {
    /// Runs the command. Everything runs in this process, so what the daemon costs is the
    /// difference between streams through it and streams read directly.
    ///
    /// # Errors
    ///
    /// Returns an error when a stream breaks off.
    pub async fn run(self) -> Result<bool> {
        let mut fixture = Fixture::start().await;
        let model = EngineModel {
            token: Duration::from_millis(2),
            batch: 4 * self.streams as u32,
            batch_cost: 0.0,
            tokens: TOKENS,
            ..EngineModel::default()
        };
        let engine = engine::start(MODEL, any_address(), model).await?;
        let direct = Caller::new(engine.address());
        fixture.endpoints.insert("llm", vec![engine]);
        fixture.root_settings = format!("\"max_tokens\": {TOKENS}");
        fixture.publish();
        let (_daemon, through) = fixture.daemon().await;
        let mut costs = Vec::new();
        for _ in 0..ROUNDS {
            let plain = self.cost(&direct, direct_request).await?;
            let passed = self.cost(&through, through_request).await?;
            println!("direct {plain:.2} us, through a daemon {passed:.2} us a token");
            costs.push(passed - plain);
        }
        costs.sort_by(f64::total_cmp);
        let median = costs[ROUNDS / 2];
        println!("a daemon spends {median:.2} us of processor time a token (median)");
        Ok(true)
    }

    async fn cost(&self, caller: &Caller, request: fn() -> CallerRequest) -> Result<f64> {
        let before = processor_time()?;
        let streams = (0..self.streams).map(|_| read_stream(caller.clone(), request()));
        let tokens: u32 = futures_util::future::try_join_all(streams)
            .await?
            .iter()
            .sum();
        let spent = processor_time()? - before;
        Ok(spent.as_secs_f64() * 1e6 / f64::from(tokens))
    }
}

fn direct_request() -> CallerRequest {
    let body = format!(
        r#"{{"model":"{MODEL}","input":{{}},"max_tokens":{TOKENS},"resume_tokens":0,"resume_text":""}}"#
    );
    CallerRequest::new(wire::GENERATE_PATH, "market", body)
}

fn through_request() -> CallerRequest {
    CallerRequest::new("/v1/services/llm", "market", "{}").header("accept", "text/event-stream")
}

/// Reads a stream to its end and returns its tokens.
async fn read_stream(caller: Caller, request: CallerRequest) -> Result<u32> {
    let response = caller.open(request).await.map_err(|error| anyhow!(error))?;
    let mut body = response.into_body();
    let mut events = EventReader::default();
    let mut tokens = 0;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            events.feed(&data)?;
        }
        while let Some(event) = events.next_event() {
            tokens += u32::from(event.starts_with(b"{\"index\""));
        }
    }
    if tokens < TOKENS {
        return Err(anyhow!("only {tokens} of {TOKENS} tokens came"));
    }
    Ok(tokens)
}
