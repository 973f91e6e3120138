//! A loopback proxy that injects faults into the connections through it.

use {
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Time between two checks of the fault while a connection is held. Chosen, not measured.
const CHECK_EVERY: Duration = Duration::from_millis(5);

/// Fault of all connections through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Bytes come late.
    Delay(Duration),
    /// Connections are reset.
    Reset,
    /// Nothing goes either way, and no connection is closed.
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
    fault: Rc<Cell<Fault>>,
}

impl Proxy {
    /// Starts to pass connections on to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            fault: Rc::new(Cell::new(Fault::None)),
        };
        let fault = proxy.fault.clone();
        tokio::task::spawn_local(async move {
            loop {
                let (near, _) = listener.accept().await.unwrap();
                tokio::task::spawn_local(pass(near, target, fault.clone()));
            }
        });
        proxy
    }

    pub fn set(&self, fault: Fault) {
        self.fault.set(fault);
    }
}

async fn pass(near: TcpStream, target: SocketAddr, fault: Rc<Cell<Fault>>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = flow(near_read, far_write, fault.clone(), Fault::CutThere);
    let back = flow(far_read, near_write, fault, Fault::CutBack);
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
    fault: Rc<Cell<Fault>>,
    cut: Fault,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            () = until_reset(&fault) => return,
        };
        let size = match read {
            Ok(0) | Err(_) => return,
            Ok(size) => size,
        };
        while fault.get() == cut || fault.get() == Fault::Silence {
            tokio::time::sleep(CHECK_EVERY).await;
        }
        match fault.get() {
            Fault::Reset => return,
            Fault::Delay(time) => tokio::time::sleep(time).await,
            _ => {}
        }
        if to.write_all(&buffer[..size]).await.is_err() {
            return;
        }
    }
}

async fn until_reset(fault: &Cell<Fault>) {
    while fault.get() != Fault::Reset {
        tokio::time::sleep(CHECK_EVERY).await;
    }
}
