//! Assertions that stay enabled in every build.

/// Panics if a condition doesn't hold on which a guarantee to callers depends.
///
/// A daemon that continued after such a fault could execute a payment twice. After a panic, callers get the outcome
/// `unknown`, which is correct.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $($message:tt)+) => {
        if !$holds {
            panic!("invariant broken: {}", format_args!($($message)+));
        }
    };
}
