//! Assertions of safety that stay on in every build.

/// Stops the process when a rule that promises rest on doesn't hold.
///
/// Going on after such a fault could run a payment twice; stopping leaves callers with `unknown`,
/// which is true.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $($message:tt)+) => {
        if !$holds {
            panic!("invariant broken: {}", format_args!($($message)+));
        }
    };
}
