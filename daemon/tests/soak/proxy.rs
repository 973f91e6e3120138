//! A loopback proxy that harms the connections through it as it is told.

use {
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Time between two looks at whether a held connection goes on.
const LOOK: Duration = Duration::from_millis(5);

/// What happens to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    None,
    /// Bytes come late.
    Delay(Duration),
    /// Connections are reset.
    Reset,
    /// Nothing goes either way, and nobody is told.
    Silence,
    /// Nothing reaches the far end.
    CutThere,
    /// Nothing comes back.
    CutBack,
}

/// The proxy; clones share it.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    harm: Rc<Cell<Harm>>,
}

impl Proxy {
    /// Starts to pass connections on to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            harm: Rc::new(Cell::new(Harm::None)),
        };
        let harm = proxy.harm.clone();
        tokio::task::spawn_local(async move {
            loop {
                let (near, _) = listener.accept().await.unwrap();
                tokio::task::spawn_local(pass(near, target, harm.clone()));
            }
        });
        proxy
    }

    pub fn set(&self, harm: Harm) {
        self.harm.set(harm);
    }
}

async fn pass(near: TcpStream, target: SocketAddr, harm: Rc<Cell<Harm>>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = flow(near_read, far_write, harm.clone(), Harm::CutThere);
    let back = flow(far_read, near_write, harm, Harm::CutBack);
    // An end or a reset of either side ends both.
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

/// Passes bytes one way until there is an end; held bytes come late, as after a partition.
async fn flow(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    harm: Rc<Cell<Harm>>,
    cut: Harm,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = until_reset(&harm) => return,
        };
        let size = match read {
            Ok(0) | Err(_) => return,
            Ok(size) => size,
        };
        while harm.get() == cut || harm.get() == Harm::Silence {
            tokio::time::sleep(LOOK).await;
        }
        match harm.get() {
            Harm::Reset => return,
            Harm::Delay(time) => tokio::time::sleep(time).await,
            _ => {}
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}

async fn until_reset(harm: &Cell<Harm>) {
    while harm.get() != Harm::Reset {
        tokio::time::sleep(LOOK).await;
    }
}
