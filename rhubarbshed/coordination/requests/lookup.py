"""Lookup of a request's target and of the backend servers that may run it."""

from collections.abc import Callable

from attrs import frozen

from rhubarbshed.protocol.catalogue import Adapter, Model, Service
from rhubarbshed.protocol.requests import Request
from rhubarbshed.state.membership.load import Candidate, LoadView

FindModel = Callable[[str], Model | None]
FindAdapter = Callable[[str], Adapter | None]
FindService = Callable[[str], Service | None]


@frozen
class Lookup:
    """Lookup of catalogue objects by name; each function returns None if there is none."""

    find_model: FindModel
    find_adapter: FindAdapter
    find_service: FindService

    def find_target_s(self, request: Request) -> float | None:
        """Return the seconds in which a request should be answered; None for an unknown target.

        For a model it is the time to the first token, for a plain service that to the answer.
        """
        if request.service:
            service = self.find_service(request.service)
            return service.answer_target_s if service is not None else None
        model = self.find_model(request.model)
        if model is None or not self._fits_adapter(request):
            return None
        return model.first_token_target_s

    def _fits_adapter(self, request: Request) -> bool:
        if not request.adapter:
            return True
        adapter = self.find_adapter(request.adapter)
        return adapter is not None and adapter.model == request.model

    def list_candidates(
        self, request: Request, load: LoadView, now: float
    ) -> tuple[Candidate, ...]:
        """Return the backend servers that may run a request, and those lost recently."""
        if not request.service:
            return load.list_candidates(request.model, request.adapter, request.prefixes, now)
        service = self.find_service(request.service)
        names = service.backend_servers if service is not None else ()
        return load.list_service_candidates(names, now)
