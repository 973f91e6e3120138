//! A sound replica: runs the requests that expect it, and records each arrival.

use {
    crate::{
        http::{Head, read_head, read_sized},
        record::Record,
    },
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// How a replica answers.
#[derive(Clone, Copy)]
pub enum Work {
    /// One answer of this many bytes after a time.
    Plain { time: Duration, bytes: usize },
    /// This many events with a pause after each, the first after a time.
    Stream {
        first: Duration,
        events: u32,
        pause: Duration,
    },
}

/// A request that arrived whole and was run.
#[derive(Clone, Copy)]
pub struct Arrival {
    pub at_ms: u64,
    /// Set once the replica has sent its whole answer.
    pub answered: bool,
}

/// A replica; clones share its state.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    slots: usize,
    work: Work,
    running: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
    arrivals: Arc<Mutex<BTreeMap<String, Arrival>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Replica {
    /// Listens on an address.
    pub fn start(
        id: &str,
        address: SocketAddr,
        slots: usize,
        work: Work,
        record: &Record,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind(address).map_err(|error| format!("replica: {error}"))?;
        let replica = Self {
            id: id.into(),
            address,
            slots,
            work,
            running: Arc::default(),
            ended: Arc::default(),
            arrivals: Arc::default(),
            connections: Arc::default(),
            record: record.clone(),
        };
        let serving = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.connections.lock().unwrap().push(copy);
                }
                let replica = serving.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        Ok(replica)
    }

    /// Returns the entry that the replica writes into the store.
    pub fn entry(&self, service: &str) -> String {
        let (address, slots) = (self.address, self.slots);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"ikeja\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1}}"
        )
    }

    /// Ends the replica: its port is closed, and so are its connections.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the requests that ran, by id.
    pub fn arrivals(&self) -> BTreeMap<String, Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_sized(&mut reader, &head).is_err() {
                return;
            }
            if self.answer(&head, &mut stream).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, stream: &mut TcpStream) -> std::io::Result<()> {
        let load = format!(
            "Hazelyoke-Replica-Id: {}\r\nHazelyoke-Replica-Load: {},0,{}\r\n",
            self.id,
            self.running.load(Ordering::SeqCst),
            self.slots
        );
        if head.word(1) == "/health" {
            let text = format!("HTTP/1.1 200 OK\r\n{load}Content-Length: 0\r\n\r\n");
            return stream.write_all(text.as_bytes());
        }
        if head
            .header("hazelyoke-expect-replica")
            .is_some_and(|id| id != self.id)
        {
            let text =
                format!("HTTP/1.1 421 Misdirected Request\r\n{load}Content-Length: 0\r\n\r\n");
            return stream.write_all(text.as_bytes());
        }
        let Some(id) = head.header("hazelyoke-request-id").map(str::to_owned) else {
            let text = format!(
                "HTTP/1.1 400 Bad Request\r\n{load}Hazelyoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(text.as_bytes());
        };
        let at_ms = self.record.now();
        self.record.event(format!("replica {}: runs {id}", self.id));
        let arrival = Arrival {
            at_ms,
            answered: false,
        };
        self.arrivals.lock().unwrap().insert(id.clone(), arrival);
        self.running.fetch_add(1, Ordering::SeqCst);
        let common = format!(
            "{load}Hazelyoke-Request-Id: {id}\r\nHazelyoke-Response-Stamp: {}.{id}\r\n",
            self.id
        );
        let sent = self.run(&common, stream);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if sent.is_ok()
            && let Some(arrival) = self.arrivals.lock().unwrap().get_mut(&id)
        {
            arrival.answered = true;
        }
        sent
    }

    fn run(&self, common: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        match self.work {
            Work::Plain { time, bytes } => {
                thread::sleep(time);
                let body = "x".repeat(bytes);
                let text =
                    format!("HTTP/1.1 200 OK\r\n{common}Content-Length: {bytes}\r\n\r\n{body}");
                stream.write_all(text.as_bytes())
            }
            Work::Stream {
                first,
                events,
                pause,
            } => {
                thread::sleep(first);
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
                for number in 1..=events {
                    let event = format!("id: {number}\ndata: token\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    stream.write_all(chunk.as_bytes())?;
                    thread::sleep(pause);
                }
                stream.write_all(b"0\r\n\r\n")
            }
        }
    }
}
