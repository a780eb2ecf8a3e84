package slateslip.standin;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Sends requests at a constant rate, without waiting for the responses to earlier requests. */
final class PacedTraffic {
  private static final int OK = 200;

  private final OkHttpClient client;
  private final FleetTraffic traffic;

  /**
   * Counts the requests of one run.
   *
   * @param sent number of requests that were sent
   * @param succeeded number of requests that got a complete response with status 200
   */
  record Result(int sent, int succeeded) {}

  PacedTraffic(OkHttpClient client, FleetTraffic traffic) {
    this.client = client;
    this.traffic = traffic;
  }

  /** Sends requests for the given duration, and waits until the last request has ended. */
  Result run(double perSecond, Duration length) throws InterruptedException {
    int count = (int) Math.round(perSecond * length.toMillis() / 1_000);
    long intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) / perSecond);
    AtomicInteger succeeded = new AtomicInteger();
    CountDownLatch ended = new CountDownLatch(count);
    ScheduledExecutorService pace = Executors.newSingleThreadScheduledExecutor();
    for (int i = 0; i < count; i++) {
      int number = i;
      pace.schedule(
          () -> send(traffic.mixedRequest(number), succeeded, ended),
          i * intervalNanos,
          TimeUnit.NANOSECONDS);
    }
    ended.await();
    pace.shutdown();
    return new Result(count, succeeded.get());
  }

  private void send(Request request, AtomicInteger succeeded, CountDownLatch ended) {
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException failure) {
                ended.countDown();
              }

              @Override
              public void onResponse(Call call, Response response) throws IOException {
                try (response) {
                  response.body().bytes();
                  if (response.code() == OK) {
                    succeeded.incrementAndGet();
                  }
                } finally {
                  ended.countDown();
                }
              }
            });
  }
}
