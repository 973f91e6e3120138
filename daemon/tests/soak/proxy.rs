//! A loopback proxy that injects faults into connections and datagrams.

use {
    super::stand_in::loopback,
    std::{
        cell::{Cell, RefCell},
        collections::{HashMap, hash_map::Entry},
        net::{IpAddr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream, UdpSocket},
        task::AbortHandle,
    },
};

/// Time between two checks of the fault while bytes are held back.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A fault that applies to all connections through a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Bytes arrive later by this time.
    Delay(Duration),
    /// Connections are closed.
    Reset,
    /// No bytes pass in either direction, and connections stay open.
    Silence,
    /// No bytes reach the target.
    CutToTarget,
    /// No bytes come back from the target.
    CutFromTarget,
}

/// A running proxy; clones refer to the same one.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    target: SocketAddr,
    fault: Rc<Cell<Fault>>,
    accepting: Rc<RefCell<AbortHandle>>,
    /// Keeps the port while the proxy doesn't accept connections; another listener could get it otherwise.
    _port: Rc<TcpSocket>,
}

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Binds a port that several sockets of this process may share.
fn bind_shared(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.set_reuseport(true).unwrap();
    socket.bind(address).unwrap();
    socket
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        Self::start_on(loopback(), target)
    }

    /// Starts a proxy that forwards connections and datagrams to `target`, on `port` of the target's IP address. The
    /// caller chooses the port, because the system might choose one that the target is about to bind.
    pub async fn start_before(port: u16, target: SocketAddr) -> Self {
        let address = SocketAddr::new(target.ip(), port);
        let datagrams = UdpSocket::bind(address).await.unwrap();
        let proxy = Self::start_on(address, target);
        let fault = proxy.fault.clone();
        tokio::task::spawn_local(forward_datagrams(datagrams, target, fault));
        proxy
    }

    fn start_on(address: SocketAddr, target: SocketAddr) -> Self {
        let port = bind_shared(address);
        let address = port.local_addr().unwrap();
        let fault = Rc::new(Cell::new(Fault::None));
        let accepting = Rc::new(RefCell::new(accept(address, target, fault.clone())));
        Self {
            address,
            target,
            fault,
            accepting,
            _port: Rc::new(port),
        }
    }

    /// Stops accepting connections: new ones are refused, and open ones go on.
    pub fn end(&self) {
        self.accepting.borrow().abort();
    }

    /// Accepts connections again after [`Self::end`].
    pub fn begin_again(&self) {
        let accepting = accept(self.address, self.target, self.fault.clone());
        self.accepting.replace(accepting);
    }

    pub fn is_disturbed(&self) -> bool {
        self.fault.get() != Fault::None
    }

    pub fn set(&self, fault: Fault) {
        self.fault.set(fault);
    }
}

fn accept(address: SocketAddr, target: SocketAddr, fault: Rc<Cell<Fault>>) -> AbortHandle {
    let listener: TcpListener = bind_shared(address).listen(BACKLOG).unwrap();
    let accepting = tokio::task::spawn_local(async move {
        loop {
            let (near, _) = listener.accept().await.unwrap();
            tokio::task::spawn_local(forward(near, target, fault.clone()));
        }
    });
    accepting.abort_handle()
}

/// Forwards datagrams, each from the IP address of its sender. A fault that delays or holds back bytes drops them.
async fn forward_datagrams(socket: UdpSocket, target: SocketAddr, fault: Rc<Cell<Fault>>) {
    let mut senders: HashMap<IpAddr, UdpSocket> = HashMap::new();
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let (size, from) = socket.recv_from(&mut buffer).await.unwrap();
        if !matches!(
            fault.get(),
            Fault::None | Fault::Reset | Fault::CutFromTarget
        ) {
            continue;
        }
        let sender = match senders.entry(from.ip()) {
            Entry::Occupied(sender) => sender.into_mut(),
            Entry::Vacant(place) => place.insert(UdpSocket::bind((from.ip(), 0)).await.unwrap()),
        };
        // Sending fails while the daemon is down.
        let _ = sender.send_to(&buffer[..size], target).await;
    }
}

async fn forward(near: TcpStream, target: SocketAddr, fault: Rc<Cell<Fault>>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = forward_bytes(near_read, far_write, fault.clone(), Fault::CutToTarget);
    let back = forward_bytes(far_read, near_write, fault, Fault::CutFromTarget);
    // When one direction ends, the connection is closed in both.
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

/// Forwards bytes in one direction until the connection ends. Bytes that are held back arrive after the fault, as after a
/// network partition.
async fn forward_bytes(
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
            tokio::time::sleep(CHECK_INTERVAL).await;
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
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
