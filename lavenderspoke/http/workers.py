"""The threads of a server, where the system may refuse some of them."""

import time

import logbook
from cheroot.workers.threadpool import _SHUTDOWNREQUEST, ThreadPool, WorkerThread

# Threads that a pool without all of its own leaves to the rest of the process.
THREADS_LEFT = 8
# Time between two tries for threads that the system refused, in seconds.
REFUSED_PAUSE_S = 1.0
# Threads that are tried for at once later.
GROW_BACK = 8
POLL_S = 0.005
# How long those that are left may take to end, in seconds.
LEAVE_S = 1.0

log = logbook.Logger(__name__)


class WorkerPool(ThreadPool):
    """Cheroot's threads, as many of them as the system grants.

    Cheroot keeps its first threads to itself when it can't get them all: they
    would wait for connections for ever, and keep the process from ending.
    """

    def __init__(self, server, **options):
        super().__init__(server, **options)
        self._refused = False
        self._again_s = 0.0

    def start(self) -> None:
        super().start()
        if self._refused:
            self._leave_some()

    def grow(self, amount: int) -> None:
        """Start up to so many threads; raise only when there is none at all."""
        workers, error = self._spawn(min(amount, self.max - len(self._threads)))
        while any(each.is_alive() and not each.ready for each in workers):
            time.sleep(POLL_S)
        self._threads.extend(workers)
        if error is not None and not self._threads:
            raise error
        self._note(error)

    def grow_back(self) -> None:
        """Try to get a few of the threads that the system refused, now and then.

        All at once they would take longer to start than callers wait for one.
        """
        if self._refused and time.monotonic() >= self._again_s:
            self.grow(min(GROW_BACK, self.min - len(self._threads)))

    def _note(self, error: Exception | None) -> None:
        running = len(self._threads)
        if error is not None:
            self._again_s = time.monotonic() + REFUSED_PAUSE_S
            if not self._refused:
                log.warning("threads refused", running=running, error=repr(error))
            self._refused = True
        elif self._refused and running >= self.min:
            log.info("threads granted", running=running)
            self._refused = False

    def _spawn(self, wanted: int) -> tuple[list[WorkerThread], Exception | None]:
        workers = []
        for _ in range(wanted):
            try:
                workers.append(self._spawn_worker())
            except (RuntimeError, MemoryError) as error:
                return workers, error
        return workers, None

    def _leave_some(self) -> None:
        """End a few threads: the rest of the process needs some of its own."""
        spare = min(THREADS_LEFT, len(self._threads) - 1)
        for _ in range(spare):
            self._queue.put(_SHUTDOWNREQUEST)
        wanted = len(self._threads) - spare
        until_s = time.monotonic() + LEAVE_S
        while len(self._threads) > wanted and time.monotonic() < until_s:
            time.sleep(POLL_S)
            self._clear_dead_threads()
