//! Settings that every node of the tree inherits from its parent unless it overrides them.

use {
    crate::{
        settings::document::{Field, Kind, scalar_text},
        shared::{
            findings::{Findings, Place},
            units::{ByteSize, Count, Maybe, Millis, NONE_TEXT, Rate, Share},
        },
    },
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
};

/// Tells which node set a value, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Path of the node, or `built-in` for a default.
    pub node: Arc<str>,
    /// Place of the value; absent for a built-in default.
    pub place: Option<Place>,
}

impl Origin {
    /// Returns the origin of built-in defaults.
    pub fn built_in() -> Self {
        Self {
            node: "built-in".into(),
            place: None,
        }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.place {
            Some(place) => write!(f, "{} at {place}", self.node),
            None => f.write_str(&self.node),
        }
    }
}

/// A value together with the node that set it.
#[derive(Debug, Clone, PartialEq)]
pub struct Setting<T> {
    /// The effective value.
    pub value: T,
    /// Where it comes from.
    pub origin: Origin,
}

/// One effective value as text, for people.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingEntry {
    /// Name of the setting.
    pub name: &'static str,
    /// From which parent a stage takes it.
    pub scope: Scope,
    /// The effective value.
    pub value: String,
    /// Where it comes from.
    pub origin: Origin,
}

macro_rules! word_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum $name {
            $($(#[$vdoc])* #[serde(rename = $text)] $variant,)*
        }

        impl FromStr for $name {
            type Err = String;

            fn from_str(text: &str) -> Result<Self, String> {
                match text {
                    $($text => Ok(Self::$variant),)*
                    _ => Err(format!("{text:?} is not one of {:?}", [$($text),*])),
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$variant => $text,)* })
            }
        }
    };
}

word_enum! {
    /// Tells how early a request is shed and in what order engines run it.
    Priority {
        /// Shed first.
        Low = "low",
        /// The usual one.
        Normal = "normal",
        /// Shed last.
        High = "high",
    }
}

word_enum! {
    /// Tells what keeps a call that may not be repeated from running twice.
    Guard {
        /// Nothing: a repeat by the caller may run again.
        None = "none",
        /// The endpoint checks the idempotency key itself.
        Endpoint = "endpoint",
        /// All daemons together; none can give it, so that such calls are refused.
        Fleet = "fleet",
    }
}

word_enum! {
    /// Names the implementation that chooses endpoints.
    PolicyKind {
        /// Chooses by estimated finish, admits by deadline, retries within a budget.
        Estimated = "estimated",
        /// Round robin, no estimate, a fixed number of retries: the baseline.
        Naive = "naive",
    }
}

/// Tells from which parent a stage takes a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Belongs to the request: a stage takes it from its pipeline.
    Request,
    /// Belongs to the call: a stage takes it from the service it calls.
    Call,
}

macro_rules! settings {
    ($($(#[doc = $doc:literal])* $scope:ident $name:ident: $kind:ty = $default:literal;)*) => {
        /// The effective settings of one node.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Settings {
            $($(#[doc = $doc])* pub $name: Setting<$kind>,)*
        }

        /// Name, scope, default and description of every setting, in the order of reports.
        pub const CATALOGUE: &[(&str, Scope, &str, &str)] = &[
            $((stringify!($name), Scope::$scope, $default, concat!($($doc),*)),)*
        ];

        impl Settings {
            /// Returns the built-in defaults.
            ///
            /// # Panics
            ///
            /// Panics if a default in the table above isn't a value of its type, which a test
            /// rules out.
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
            fn set(&mut self, name: &str, text: &str, origin: Origin) -> Result<(), SetError> {
                match name {
                    $(stringify!($name) => {
                        let value = text
                            .parse::<$kind>()
                            .map_err(|error| SetError::BadValue(error.to_string()))?;
                        self.$name = Setting { value, origin };
                        Ok(())
                    })*
                    _ => Err(SetError::Unknown),
                }
            }

            fn text(&self, name: &str) -> Option<String> {
                match name {
                    $(stringify!($name) => Some(self.$name.value.to_string()),)*
                    _ => None,
                }
            }
        }
    };
}

enum SetError {
    Unknown,
    BadValue(String),
}

settings! {
    /// Time within which a request must be answered whole.
    Request deadline: Millis = "4s";
    /// Order of shedding and of an engine's queue.
    Request priority: Priority = "normal";
    /// Requests a customer may send in a second, across all daemons.
    Request rate: Maybe<Rate> = "none";
    /// Requests a customer may have in flight at one daemon.
    Request concurrency: Maybe<Count> = "none";
    /// Largest request body accepted.
    Request max_body: ByteSize = "256KB";
    /// Whether the call may be sent again, to the same or another endpoint.
    Call repeatable: bool = "true";
    /// What keeps a call that may not be repeated from running twice.
    Call guard: Guard = "none";
    /// Least time the call takes; a deadline below the sum of a pipeline's floors is refused.
    Call floor: Millis = "1ms";
    /// Most attempts at one stage of one request.
    Call attempts: Count = "3";
    /// Retries and hedges as a share of first attempts.
    Call retry_budget: Share = "10%";
    /// Waiting time after which a repeatable call is also sent to a second endpoint.
    Call hedge_after: Maybe<Millis> = "none";
    /// Largest reply accepted from an endpoint.
    Call max_reply: ByteSize = "1MB";
    /// Most tokens one generation may have.
    Call max_tokens: Count = "256";
    /// Calls one endpoint works on at the same time, used until it reports its load.
    Call slots: Count = "8";
    /// Whether engines that hold a prompt's beginning in their cache are preferred.
    Call affinity: bool = "true";
    /// Implementation that chooses endpoints.
    Call policy: PolicyKind = "estimated";
}

/// Applies one `"settings"` object's fields over the settings that a node inherits.
///
/// Returns the parent's own value when nothing is overridden, so that thousands of plain nodes
/// share one allocation.
pub fn override_settings(
    node: &str,
    parent: &Arc<Settings>,
    fields: &[Field],
    findings: &mut Findings,
) -> Arc<Settings> {
    if fields.is_empty() {
        return parent.clone();
    }
    let mut settings = Settings::clone(parent);
    let shared_node: Arc<str> = node.into();
    for field in fields {
        let origin = Origin {
            node: shared_node.clone(),
            place: Some(field.value.place.clone()),
        };
        override_one(node, parent, &mut settings, field, origin, findings);
    }
    check_combination(node, &settings, findings);
    Arc::new(settings)
}

fn override_one(
    node: &str,
    parent: &Settings,
    settings: &mut Settings,
    field: &Field,
    origin: Origin,
    findings: &mut Findings,
) {
    let place = &field.value.place;
    let name = field.name.as_str();
    let clears = field.value.kind == Kind::Null;
    if clears && parent.text(name).as_deref() == Some(NONE_TEXT) {
        findings.add(
            place,
            node,
            format!("{name} is cleared here, but the parent doesn't have it"),
            "remove this line",
        );
        return;
    }
    let text = if clears {
        Some(NONE_TEXT.to_owned())
    } else {
        scalar_text(&field.value)
    };
    let Some(text) = text else {
        let message = format!("{name}: {} is no setting", field.value.kind.name());
        findings.add(place, node, message, "write a string, number or boolean");
        return;
    };
    match settings.set(name, &text, origin) {
        Ok(()) => {}
        Err(SetError::BadValue(error)) => {
            findings.add(
                place,
                node,
                format!("{name}: {error}"),
                "correct the value or unit",
            );
        }
        Err(SetError::Unknown) => {
            let names: Vec<_> = CATALOGUE.iter().map(|entry| entry.0).collect();
            findings.add(
                &field.place,
                node,
                format!("unknown setting {name:?}"),
                format!("remove it; known: {}", names.join(", ")),
            );
        }
    }
}

/// Reports a guard on a call that may be repeated: the two contradict each other.
pub fn check_combination(node: &str, settings: &Settings, findings: &mut Findings) {
    if !settings.repeatable.value || settings.guard.value == Guard::None {
        return;
    }
    let origin = &settings.guard.origin;
    // Nodes below inherit the contradiction; it is reported once, where it stands.
    if let Some(place) = &origin.place
        && &*origin.node == node
    {
        findings.add(
            place,
            node,
            format!("guard is {} for a repeatable call", settings.guard.value),
            "set \"repeatable\": false beside it",
        );
    }
}
