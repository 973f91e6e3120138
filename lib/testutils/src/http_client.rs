//! An HTTP client for the daemons' interface, for tests and the bench.

use {
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, Method, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of a caller, far longer than every deadline in tests.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// One request to the interface.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Path, such as `/v1/pipelines/summary`.
    pub path: String,
    /// Names and values of the headers.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Bytes,
}

impl CallerRequest {
    /// Builds a request of a customer.
    pub fn new(path: impl Into<String>, customer: &str, body: impl Into<Bytes>) -> Self {
        Self {
            path: path.into(),
            headers: vec![("x-customer", customer.to_owned())],
            body: body.into(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct CallerReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl CallerReply {
    /// Parses the body as JSON; returns `null` if it isn't valid.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the `code` of a problem; empty if the body isn't a problem.
    pub fn code(&self) -> String {
        self.json()["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the `outcome` of a problem; empty if the body isn't a problem.
    pub fn outcome(&self) -> String {
        self.json()["outcome"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// A client of one daemon, with a separate connection pool.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

impl Caller {
    /// Builds a caller of one daemon.
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, address }
    }

    /// Sends a POST and returns the response as soon as its headers arrive, with the body unread.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no response.
    pub async fn open(&self, request: CallerRequest) -> Result<http::Response<Incoming>, String> {
        self.exchange(Method::POST, request).await
    }

    /// Sends a POST and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no complete response.
    pub async fn post(&self, request: CallerRequest) -> Result<CallerReply, String> {
        self.follow(request, |_| {}).await
    }

    /// Sends a POST and reads the complete response. Whenever data arrives, calls `progress` with the body received so
    /// far.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no complete response.
    pub async fn follow(
        &self,
        request: CallerRequest,
        progress: impl FnMut(&[u8]),
    ) -> Result<CallerReply, String> {
        read_reply(self.open(request).await?, progress).await
    }

    /// Sends a GET and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no complete response.
    pub async fn get(&self, path: &str) -> Result<CallerReply, String> {
        let request = CallerRequest {
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        read_reply(self.exchange(Method::GET, request).await?, |_| {}).await
    }

    async fn exchange(
        &self,
        method: Method,
        request: CallerRequest,
    ) -> Result<http::Response<Incoming>, String> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{}", self.address, request.path));
        for (name, value) in request.headers {
            builder = builder.header(name, value);
        }
        let request = builder
            .body(Full::new(request.body))
            .map_err(|error| error.to_string())?;
        tokio::time::timeout(CALLER_TIMEOUT, self.client.request(request))
            .await
            .map_err(|_| "no response".to_owned())?
            .map_err(|error| format!("{error:?}"))
    }
}

async fn read_reply(
    response: http::Response<Incoming>,
    progress: impl FnMut(&[u8]),
) -> Result<CallerReply, String> {
    let (head, body) = response.into_parts();
    let body = tokio::time::timeout(CALLER_TIMEOUT, read_body(body, progress))
        .await
        .map_err(|_| "no end of the body".to_owned())?
        .map_err(|error| error.to_string())?;
    Ok(CallerReply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

async fn read_body(
    mut body: Incoming,
    mut progress: impl FnMut(&[u8]),
) -> Result<Bytes, hyper::Error> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers aren't part of the body.
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
            progress(&read);
        }
    }
    Ok(read.freeze())
}
