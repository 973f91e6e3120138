//! Assertions about safety that stay on in every build.

/// Panics when a condition that guarantees to callers depend on doesn't hold.
///
/// A daemon that went on after such a fault could run a payment twice; after a stop, callers get
/// the outcome `unknown`, which is true.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $($message:tt)+) => {
        if !$holds {
            panic!("invariant broken: {}", format_args!($($message)+));
        }
    };
}
