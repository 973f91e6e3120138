//! Endpoints of the pipeline daemon that stop within the head of their reply, at every byte, on new and on kept connections.
//!
//! Guards against replies that end early and are taken for whole ones.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    bytes::Bytes,
    hazelyoke_lib::pipeline::{
        decision::endpoint::{AttemptEnd, FailCause},
        endpoints::http_transport::HttpTransport,
    },
    http::Request,
    http_body_util::{BodyExt, Full},
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// A whole reply that keeps its connection.
const WHOLE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

/// Replies whose heads are cut.
const REPLIES: [&str; 3] = [
    WHOLE,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole",
];

async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
}

/// Serves one connection: whole replies to the first requests, and the first bytes of a reply to the last one.
async fn serve(listener: TcpListener, before: usize, torn: &'static [u8], resets: bool) {
    let (mut stream, _) = listener.accept().await.unwrap();
    for _ in 0..before {
        read_head(&mut stream).await;
        stream.write_all(WHOLE.as_bytes()).await.unwrap();
    }
    read_head(&mut stream).await;
    stream.write_all(torn).await.unwrap();
    if resets {
        stream.set_zero_linger().unwrap();
    }
}

async fn send(transport: &HttpTransport, address: SocketAddr) -> Result<Bytes, AttemptEnd> {
    let request = Request::get(format!("http://{address}/")).body(Full::default());
    let response = transport.send(request.unwrap()).await?;
    let body = response.into_body().collect().await;
    Ok(body.unwrap().to_bytes())
}

#[tokio::test]
async fn torn_replies() {
    for reply in REPLIES {
        let size = reply
            .rfind("\r\n\r\n5\r\n")
            .or(reply.rfind("\r\n\r\nwhole"));
        for bytes in 0..size.unwrap() + 4 {
            for (before, resets) in [(0, false), (0, true), (2, false), (2, true)] {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                let address = listener.local_addr().unwrap();
                let torn = &reply.as_bytes()[..bytes];
                let served = tokio::spawn(serve(listener, before, torn, resets));
                let transport = HttpTransport::new();
                for _ in 0..before {
                    assert_eq!(send(&transport, address).await.unwrap(), "whole");
                }
                let end = send(&transport, address).await;
                let case = format!("{bytes} bytes of {reply:?} after {before}, reset: {resets}");
                assert_eq!(end, Err(AttemptEnd::Failed(FailCause::Broken)), "{case}");
                served.await.unwrap();
            }
        }
    }
}
