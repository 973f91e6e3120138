//! The results of the stages of one request, from the completion of a stage until its results are no longer needed.
//!
//! Owns the handles of the results and releases the remaining ones when dropped.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            rules::{endpoint_choice::InputLocation, result_capacity::REQUEST_FETCH_TIME},
            stages::{
                job::{PieceInput, ResultHandle},
                release::{release, release_if_short},
            },
            state::Gateway,
            table::{Route, RouteStage},
        },
        shared::{ids::ServiceId, units::ByteSize},
    },
    std::{cell::Cell, rc::Rc, sync::Arc},
};

/// The results of the stages of one request; the remaining ones are released when this is dropped.
pub struct Results<D: Dialect> {
    gateway: Rc<Gateway<D>>,
    stages: Vec<StageResults>,
}

/// The results of one stage.
struct StageResults {
    service: ServiceId,
    /// Usual size of one result.
    size: ByteSize,
    /// Set if the request itself uses the results, because no other stage does.
    is_last: bool,
    /// `None` until the stage is complete; empty once the results are released.
    handles: Option<Vec<ResultHandle>>,
    /// Set if the results were released, early or when the stages started over or ended. Shared with the task that
    /// releases them early.
    released: Rc<Cell<bool>>,
}

impl<D: Dialect> Results<D> {
    /// Creates the results of stages none of which is complete.
    pub(super) fn new(gateway: Rc<Gateway<D>>, route: &Route) -> Self {
        let is_used = |stage: usize| {
            let mut all = route.stages.iter();
            all.any(|other| other.after.contains(&stage))
        };
        let stages = route.stages.iter().enumerate();
        let stages = stages.map(|(index, stage)| StageResults {
            service: stage.service.clone(),
            size: stage.result,
            is_last: !is_used(index),
            handles: None,
            released: Rc::default(),
        });
        Self {
            gateway,
            stages: stages.collect(),
        }
    }

    /// Returns the results that the request itself uses as inputs.
    pub fn inputs(&self) -> Vec<ResultHandle> {
        let last = self.stages.iter().filter(|stage| stage.is_last);
        last.filter_map(|stage| stage.handles.clone())
            .flatten()
            .collect()
    }

    /// Returns the locations of the results that the request itself uses; skips results of endpoints that have left.
    pub fn input_locations(&self) -> Vec<InputLocation> {
        self.locations(self.stages.iter().filter(|stage| stage.is_last))
    }

    /// Returns the locations of the results that each piece of a stage fetches.
    pub(super) fn stage_inputs(&self, stage: &RouteStage) -> Vec<InputLocation> {
        self.locations(stage.after.iter().map(|before| &self.stages[*before]))
    }

    fn locations<'a>(&self, stages: impl Iterator<Item = &'a StageResults>) -> Vec<InputLocation> {
        let state = self.gateway.state.borrow();
        let mut locations = Vec::new();
        for stage in stages {
            for handle in stage.handles.iter().flatten() {
                let address = handle.address();
                let member = state
                    .endpoints
                    .service(&stage.service)
                    .find(|member| Some(member.entry.address) == address);
                if let Some(member) = member {
                    locations.push(InputLocation {
                        data_centre: member.entry.data_centre.clone(),
                        region: member.region,
                        size: stage.size,
                    });
                }
            }
        }
        locations
    }

    /// Returns whether all stages are complete.
    pub(super) fn are_complete(&self) -> bool {
        self.stages.iter().all(|stage| stage.handles.is_some())
    }

    /// Returns whether all stages that a stage depends on are complete.
    pub(super) fn is_ready(&self, stage: &RouteStage) -> bool {
        stage
            .after
            .iter()
            .all(|before| self.stages[*before].handles.is_some())
    }

    /// Returns the input of a stage's pieces: the results of the stages that it depends on, or the caller's key if
    /// there are no such results.
    pub(super) fn input_of(&self, stage: &RouteStage, key: &Arc<str>) -> PieceInput {
        let before = stage.after.iter().map(|before| &self.stages[*before]);
        let handles: Vec<ResultHandle> = before
            .filter_map(|stage| stage.handles.clone())
            .flatten()
            .collect();
        if handles.is_empty() {
            PieceInput::Key(key.clone())
        } else {
            PieceInput::Results(handles)
        }
    }

    /// Records that a stage is complete, with its results.
    pub(super) fn complete(&mut self, stage: usize, handles: Vec<ResultHandle>) {
        let stage = &mut self.stages[stage];
        stage.handles = Some(handles);
        stage.released = Rc::default();
    }

    /// Releases the results that only completed stages use; keeps the results that the request itself uses.
    pub(super) fn release_used(&mut self, route: &Route) {
        for index in 0..self.stages.len() {
            if self.stages[index].is_last || !self.are_users_complete(route, index) {
                continue;
            }
            // The empty list marks the stage as still complete.
            let stage = &mut self.stages[index];
            if let Some(handles) = stage.handles.as_mut() {
                release(&self.gateway, &stage.service, std::mem::take(handles));
            }
        }
    }

    fn are_users_complete(&self, route: &Route, stage: usize) -> bool {
        route
            .stages
            .iter()
            .enumerate()
            .filter(|(_, other)| other.after.contains(&stage))
            .all(|(user, _)| self.stages[user].handles.is_some())
    }

    /// Starts to release the request's inputs early: once its endpoint has had time to fetch them, they are released
    /// as soon as the endpoints that store them are short of result capacity. If the request is then sent to another
    /// endpoint, the inputs are gone and the stages run again.
    pub(crate) fn release_once_fetched(&self) {
        for stage in self.stages.iter().filter(|stage| stage.is_last) {
            // A stage without pieces has no results.
            let Some(handles) = stage.handles.clone().filter(|handles| !handles.is_empty()) else {
                continue;
            };
            let gateway = self.gateway.clone();
            let service = stage.service.clone();
            let released = stage.released.clone();
            tokio::task::spawn_local(async move {
                loop {
                    tokio::time::sleep(REQUEST_FETCH_TIME.to_duration()).await;
                    if released.get() {
                        return;
                    }
                    released.set(release_if_short(&gateway, &service, &handles));
                }
            });
        }
    }

    /// Releases all results that aren't released yet; no stage is complete afterwards.
    pub(super) fn release_all(&mut self) {
        for stage in &mut self.stages {
            let handles = stage.handles.take();
            if let Some(handles) = handles
                && !stage.released.replace(true)
            {
                release(&self.gateway, &stage.service, handles);
            }
        }
    }
}

impl<D: Dialect> Drop for Results<D> {
    fn drop(&mut self) {
        self.release_all();
    }
}
