//! Settings that every node of the tree inherits from its parent unless it overrides them.
//!
//! It owns the table of settings with their types, scopes and defaults. `overrides` applies what a
//! node writes, `setting` keeps where a value comes from, `words` holds the settings that are words.
//! It relies on `document` for fields and on `shared::units` for quantities.

mod overrides;
mod setting;
mod words;

pub(crate) use overrides::{check_combination, override_settings};
pub use {
    setting::{Origin, Scope, Setting, SettingEntry},
    words::{Guard, PolicyKind, Priority, WordError},
};

use {
    crate::shared::units::{ByteSize, Count, Maybe, Millis, Rate, Share},
    overrides::OverrideError,
};

macro_rules! settings {
    ($($(#[doc = $doc:literal])* $scope:ident $name:ident: $kind:ty = $default:literal;)*) => {
        /// The effective settings of one node.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Settings {
            $($(#[doc = $doc])* pub $name: Setting<$kind>,)*
        }

        /// Name of every setting, in the order of reports.
        pub const NAMES: &[&str] = &[$(stringify!($name)),*];

        impl Settings {
            /// Returns the built-in defaults.
            ///
            /// # Panics
            ///
            /// Panics if a default in the table below isn't a value of its type, which
            /// `test_settings_tree::built_in_defaults` rules out.
            pub fn built_in() -> Self {
                Self {
                    $($name: Setting {
                        value: $default.parse::<$kind>().expect("default of its own type"),
                        origin: Origin::built_in(),
                    },)*
                }
            }

            /// Returns each effective value as text with its origin.
            pub fn entries(&self) -> Vec<SettingEntry> {
                vec![
                    $(SettingEntry {
                        name: stringify!($name),
                        scope: Scope::$scope,
                        value: self.$name.value.to_string(),
                        origin: self.$name.origin.clone(),
                    },)*
                ]
            }

            /// Returns the settings of a stage: request settings of `pipeline`, call settings of
            /// `service`.
            pub fn for_stage(pipeline: &Settings, service: &Settings) -> Self {
                Self {
                    $($name: match Scope::$scope {
                        Scope::Request => pipeline.$name.clone(),
                        Scope::Call => service.$name.clone(),
                    },)*
                }
            }

            /// Overrides one value from its text.
            fn set(&mut self, name: &str, text: &str, origin: Origin) -> Result<(), OverrideError> {
                match name {
                    $(stringify!($name) => {
                        let value = text.parse::<$kind>().map_err(|error| {
                            OverrideError::BadValue {
                                name: stringify!($name),
                                reason: error.to_string(),
                            }
                        })?;
                        self.$name = Setting { value, origin };
                        Ok(())
                    })*
                    _ => Err(OverrideError::Unknown { name: name.to_owned() }),
                }
            }

            /// Returns one effective value as text, if there is such a setting.
            fn text(&self, name: &str) -> Option<String> {
                match name {
                    $(stringify!($name) => Some(self.$name.value.to_string()),)*
                    _ => None,
                }
            }
        }
    };
}

// Users' trees override the defaults that matter to them.
settings! {
    /// Time within which a request must be answered whole.
    Request deadline: Millis = "4s";
    /// Order in which overload sheds requests, and order in an engine's queue.
    Request priority: Priority = "normal";
    /// Requests a customer may send in a second, across all daemons.
    Request rate: Maybe<Rate> = "none";
    /// Requests a customer may have in flight at one daemon.
    Request concurrency: Maybe<Count> = "none";
    /// Largest request body accepted.
    Request max_body: ByteSize = "256KB";
    /// Allows retries of the call, at the same or another endpoint.
    Call repeatable: bool = "true";
    /// Mechanism that keeps a call that may not be retried from running twice.
    Call guard: Guard = "none";
    /// Least time the call takes; a deadline below the sum of a pipeline's floors is refused.
    Call floor: Millis = "1ms";
    /// Most attempts at one stage of one request.
    Call attempts: Count = "3";
    /// Retries and hedges as a share of first attempts.
    Call retry_budget: Share = "10%";
    /// Time without a reply after which a repeatable call is also sent to a second endpoint.
    Call hedge_after: Maybe<Millis> = "none";
    /// Largest reply accepted from an endpoint.
    Call max_reply: ByteSize = "1MB";
    /// Most tokens one generation may have.
    Call max_tokens: Count = "256";
    /// Calls that one endpoint runs at the same time, used until it reports its load.
    Call slots: Count = "8";
    /// Prefers engines that hold a prompt's beginning in their cache.
    Call affinity: bool = "true";
    /// Implementation that chooses endpoints.
    Call policy: PolicyKind = "estimated";
}
