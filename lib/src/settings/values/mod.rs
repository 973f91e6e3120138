//! Settings that every node of the tree inherits from its parent unless it overrides them.
//!
//! Contains the table of settings with their types, scopes and defaults. `overrides` applies the values that a node
//! sets, `setting` records the origin of a value, `keywords` defines the settings that are enumerations.

mod keywords;
mod overrides;
mod setting;

pub(crate) use overrides::{check_guard, override_settings};
pub use {
    keywords::{Guard, KeywordError, PolicyKind, Priority},
    setting::{Origin, Scope, Setting, SettingEntry},
};

use {
    crate::shared::units::{ByteSize, Count, Millis, Optional, Rate, Share},
    overrides::OverrideError,
};

macro_rules! settings {
    ($($(#[doc = $doc:literal])* $scope:ident $name:ident: $kind:ty = $default:literal;)*) => {
        /// The effective settings of one node.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Settings {
            $($(#[doc = $doc])* pub $name: Setting<$kind>,)*
        }

        /// Names of all settings, in the order in which reports list them.
        pub const SETTING_NAMES: &[&str] = &[$(stringify!($name)),*];

        impl Settings {
            /// Returns the built-in defaults.
            ///
            /// # Panics
            ///
            /// Panics if a default in the table below isn't a valid value of its type;
            /// `test_settings_tree::built_in_defaults` checks that all are.
            pub fn built_in() -> Self {
                Self {
                    $($name: Setting {
                        value: $default.parse::<$kind>().expect("default of its own type"),
                        origin: Origin::built_in(),
                    },)*
                }
            }

            /// Returns all effective values as text, with their origins.
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

            /// Returns the settings that a stage inherits: request settings from `pipeline`, call
            /// settings from `service`.
            pub fn for_stage(pipeline: &Settings, service: &Settings) -> Self {
                Self {
                    $($name: match Scope::$scope {
                        Scope::Request => pipeline.$name.clone(),
                        Scope::Call => service.$name.clone(),
                    },)*
                }
            }

            /// Parses `text` and sets it as the value of the setting `name`.
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

            /// Returns the effective value of the setting `name` as text; `None` if the name is unknown.
            fn text(&self, name: &str) -> Option<String> {
                match name {
                    $(stringify!($name) => Some(self.$name.value.to_string()),)*
                    _ => None,
                }
            }
        }
    };
}

// The defaults apply unless a settings tree overrides them.
settings! {
    /// Time within which a request must be answered completely.
    Request deadline: Millis = "4s";
    /// Rank of a request when the daemon sheds load, and in an engine's queue.
    Request priority: Priority = "normal";
    /// Requests that a customer may send per second to one daemon.
    Request rate: Optional<Rate> = "none";
    /// Requests that a customer may have in flight at one daemon.
    Request concurrency: Optional<Count> = "none";
    /// Largest request body accepted.
    Request max_body: ByteSize = "256KB";
    /// Set if the call may be retried, at the same or another endpoint.
    Call repeatable: bool = "true";
    /// Mechanism that prevents a call that may not be retried from running twice.
    Call guard: Guard = "none";
    /// Shortest time that the call takes. A deadline below the sum of the floors of a pipeline's stages is rejected.
    Call floor: Millis = "1ms";
    /// Largest number of attempts at one stage of one request.
    Call attempts: Count = "3";
    /// Largest number of retries and hedges, as a share of first attempts.
    Call retry_budget: Share = "10%";
    /// Time without a reply after which a repeatable call is also sent to a second endpoint.
    Call hedge_after: Optional<Millis> = "none";
    /// Largest reply accepted from an endpoint.
    Call max_reply: ByteSize = "1MB";
    /// Largest number of tokens that one generation may have.
    Call max_tokens: Count = "256";
    /// Calls that one endpoint runs at the same time, assumed until the endpoint reports its load.
    Call slots: Count = "8";
    /// Set if engines are preferred that have the prefix of the prompt in their cache.
    Call affinity: bool = "true";
    /// Algorithm that selects endpoints.
    Call policy: PolicyKind = "estimated";
}
