//! The platform's store: keys, ranges and watches over HTTP/1.1, as PROTOCOL.md describes them.
//!
//! Watches that wait are cut on request: their connections close in order, without an answer.

use {
    crate::{
        http::{Head, read_head},
        record::Record,
    },
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// One change: its revision, its key, and the value in base64 unless the key was removed.
type Change = (u64, String, Option<String>);

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    history: Vec<Change>,
    /// Number of times that the waiting watches were cut.
    cuts: u64,
    /// Number of watches that wait.
    waiting: usize,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Data>, Condvar)>,
    record: Record,
}

impl Store {
    /// Listens on an address.
    pub fn start(address: SocketAddr, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind(address).map_err(|error| format!("store: {error}"))?;
        let store = Self {
            state: Arc::default(),
            record: record.clone(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(base64(value.as_bytes())));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (data, changed) = &*self.state;
        let mut data = data.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        match &value {
            Some(value) => data.items.insert(key.into(), (revision, value.clone())),
            None => data.items.remove(key),
        };
        data.history.push((revision, key.into(), value));
        changed.notify_all();
    }

    /// Cuts the watches that wait now.
    pub fn cut_watches(&self) {
        let (data, changed) = &*self.state;
        let mut data = data.lock().unwrap();
        data.cuts += 1;
        let waiting = data.waiting;
        changed.notify_all();
        drop(data);
        self.record
            .event(format!("store: cuts {waiting} waiting watches"));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Some((status, body)) = self.answer(&head) else {
                return;
            };
            thread::sleep(ANSWER_TIME);
            let length = body.len();
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call; `None` if its connection is closed without an answer.
    fn answer(&self, head: &Head) -> Option<(u16, String)> {
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let query: BTreeMap<&str, &str> = pairs.collect();
        let prefix = query.get("pathPrefix").copied().unwrap_or_default();
        let number = |name| query.get(name).and_then(|text| text.parse().ok());
        match path {
            "/api/kv-key" => Some(self.key(query.get("key").copied().unwrap_or_default())),
            "/api/kv-range" => Some(self.range(prefix, query.get("sinceRev").copied())),
            "/api/kv-watch" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                self.watch(prefix, number("sinceRev").unwrap_or(0), wait)
            }
            _ => Some((404, "{}".into())),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let data = self.state.0.lock().unwrap();
        match data.items.get(key) {
            Some((revision, value)) => (200, item(key, *revision, Some(value))),
            None => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> (u16, String) {
        let data = self.state.0.lock().unwrap();
        let items = data.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items = items.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let items = items.map(|(key, (revision, value))| item(key, *revision, Some(value)));
        let items: Vec<String> = items.collect();
        let (items, at) = (items.join(","), data.revision);
        (
            200,
            format!("{{\"items\":[{items}],\"more\":false,\"at\":{at}}}"),
        )
    }

    fn watch(&self, prefix: &str, since: u64, wait: Duration) -> Option<(u16, String)> {
        let end = Instant::now() + wait;
        let (data, changed) = &*self.state;
        let mut data = data.lock().unwrap();
        let cuts = data.cuts;
        loop {
            let events = data.history.iter();
            let events = events.filter(|(at, key, _)| *at > since && key.starts_with(prefix));
            let events = events.map(|(at, key, value)| item(key, *at, value.as_deref()));
            let events: Vec<String> = events.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), data.revision);
                return Some((200, format!("{{\"events\":[{events}],\"at\":{at}}}")));
            }
            data.waiting += 1;
            data = changed.wait_timeout(data, left).unwrap().0;
            data.waiting -= 1;
            if data.cuts != cuts {
                return None;
            }
        }
    }
}

fn item(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"),
    }
}

/// Encodes bytes in standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit <= group.len() {
                DIGITS[index] as char
            } else {
                '='
            });
        }
    }
    text
}
