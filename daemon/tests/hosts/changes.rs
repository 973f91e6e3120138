//! Tables that operators publish in a run, each of which changes something else.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    super::stand_in::documents::{table_of_kinds, with_routes},
    rand::{RngExt, rngs::SmallRng},
    serde_json::{Value, json},
};

/// Indexes of the routes of streams in the table of all kinds.
const STREAM: usize = 2;
const STAGED: usize = 3;

/// Routes that a version may add, which make the table large.
const MAX_ROUTES: usize = 1_500;

/// What operators have published last.
#[derive(Debug, Clone)]
pub struct Published {
    table: Value,
    version: u64,
    added: usize,
}

impl Published {
    /// Creates the first table: all streams can be resumed, and requests may take long.
    pub fn new() -> Self {
        let mut table = table_of_kinds(1);
        for route in table["routes"].as_array_mut().unwrap() {
            route["timeoutMs"] = json!(8_000);
        }
        table["routes"][STAGED]["resumable"] = json!(true);
        let mut more = table["services"][1].clone();
        more["name"] = json!("llm2");
        table["services"].as_array_mut().unwrap().push(more);
        Self {
            table,
            version: 1,
            added: 0,
        }
    }

    /// Sets the number of additional routes.
    pub fn set_routes(&mut self, count: usize) {
        self.added = count;
    }

    /// Returns the whole document.
    pub fn document(&self) -> Value {
        with_routes(self.table.clone(), self.added)
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// Changes one thing, and takes the next version.
    pub fn change(&mut self, rng: &mut SmallRng) -> &'static str {
        self.version += rng.random_range(1..4);
        self.table["version"] = json!(self.version);
        let stream = if rng.random() { STREAM } else { STAGED };
        match rng.random_range(0..7) {
            0 => {
                let service = if rng.random() { "llm" } else { "llm2" };
                self.table["routes"][stream]["service"] = json!(service);
                "route"
            }
            1 => {
                let weights =
                    json!([{"service": "llm", "weight": 3}, {"service": "llm2", "weight": 1}]);
                let none = json!([]);
                let split = if rng.random() { weights } else { none };
                self.table["routes"][stream]["backends"] = split;
                "weights"
            }
            2 => {
                let timeout = [7_000, 8_000, 9_000][rng.random_range(0..3)];
                self.table["routes"][stream]["timeoutMs"] = json!(timeout);
                "timeout"
            }
            3 => {
                self.table["routes"][stream]["maxAttempts"] = json!(rng.random_range(1..4));
                "attempts"
            }
            4 => {
                let keys = [format!("key-{}", self.version)];
                self.table["tenants"] = json!([{"name": "t", "apiKeys": keys}]);
                "keys"
            }
            5 => {
                let idle = [2_000, 15_000, 30_000][rng.random_range(0..3)];
                self.table["limits"]["idleTimeoutMs"] = json!(idle);
                "limits"
            }
            _ => {
                self.added = rng.random_range(0..MAX_ROUTES);
                "idle routes"
            }
        }
    }
}
