package org.laburnumarch.internal.entry;

import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.SingleSource.Subscriber;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import java.util.function.Consumer;

/**
 * Performs the network I/O of attempts.
 *
 * <p>Called without the dispatcher's lock; takes it for each change of state.
 */
final class AttemptDriver {
  private final RequestDispatcher dispatcher;

  AttemptDriver(RequestDispatcher dispatcher) {
    this.dispatcher = dispatcher;
  }

  /** Opens the connection of an attempt and writes the request on it. */
  void open(PoolDispatcher pool, Attempt attempt, Single<MinionConnection> opening) {
    SourceAdapters.toSource(opening)
        .subscribe(
            new CallbackSubscriber<>(
                cancellable -> {},
                connection -> onOpened(pool, attempt, connection),
                cause ->
                    dispatcher.runLocked(
                        (nowMs, effects) -> {
                          attempt.link().openFailed();
                          pool.onFailure(
                              attempt, AttemptFailure.connectFailed(cause), nowMs, effects);
                        })));
  }

  private void onOpened(PoolDispatcher pool, Attempt attempt, MinionConnection connection) {
    MinionLink link = attempt.link();
    connection
        .onClose()
        .onErrorComplete()
        .subscribe(
            () ->
                dispatcher.runLocked(
                    (nowMs, effects) -> pool.connectionClosed(link, connection, nowMs, effects)));
    dispatcher.runLocked(
        (nowMs, effects) -> {
          if (attempt.isEnded()) {
            connection.markIdle(nowMs);
            link.keepIdle(connection, effects);
            pool.dispatchQueued(nowMs, effects);
          } else {
            attempt.useConnection(connection);
            effects.add(() -> write(pool, attempt));
          }
        });
  }

  /** Writes the request of an attempt, if it may still run, and waits for the response. */
  void write(PoolDispatcher pool, Attempt attempt) {
    dispatcher.runLocked(
        (nowMs, effects) -> {
          if (pool.admitWrite(attempt, nowMs, effects)) {
            effects.add(() -> exchange(pool, attempt));
          }
        });
  }

  /** Writes the request of an attempt that was admitted, and waits for the response. */
  void exchange(PoolDispatcher pool, Attempt attempt) {
    SourceAdapters.toSource(attempt.connection().send(attempt.caller()))
        .subscribe(
            new CallbackSubscriber<>(
                attempt::setExchange,
                reply ->
                    dispatcher.runLocked(
                        (nowMs, effects) -> pool.onResponse(attempt, reply, nowMs, effects)),
                cause ->
                    dispatcher.runLocked(
                        (nowMs, effects) ->
                            pool.onFailure(
                                attempt, AttemptFailure.exchangeFailed(cause), nowMs, effects))));
  }

  private record CallbackSubscriber<T>(
      Consumer<Cancellable> subscribed, Consumer<T> succeeded, Consumer<Throwable> failed)
      implements Subscriber<T> {

    @Override
    public void onSubscribe(Cancellable cancellable) {
      subscribed.accept(cancellable);
    }

    @Override
    public void onSuccess(T result) {
      succeeded.accept(result);
    }

    @Override
    public void onError(Throwable cause) {
      failed.accept(cause);
    }
  }
}
