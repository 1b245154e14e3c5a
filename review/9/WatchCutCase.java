import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Servers leave without reporting it, as some do: their entries are removed, and they serve on for a little longer than
 * `drainMs`. The store has cut the watches that waited 100 ms before.
 */
public final class WatchCutCase {
    private static final long DRAIN_MS = 2_000;

    /** How long a server serves beyond `drainMs`. */
    private static final long EXIT_AFTER_MS = 300;
    private static final int ROUNDS = 2;

    /** From the cut of the watches to the removal of the entry. */
    private static final long REMOVED_AFTER_MS = 100;

    public static void main(String[] args) throws Exception {
        Lab lab = new Lab(args[0]);
        Lab.Store store = lab.new Store();
        store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\",\"prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1000,\"latencyTargetMs\":150,\"priority\":1,\"service\":\"desk\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"key1\"],\"priority\":1,\"unit\":\"token_stream\",\"plainTokens\":200,\"isolated\":false,\"ratePerS\":0,\"burst\":0}]}");
        List<Lab.Server> servers = new ArrayList<>();
        AtomicLong[] goneAt = new AtomicLong[4];
        AtomicInteger late = new AtomicInteger();
        AtomicLong latest = new AtomicLong();
        for (int i = 0; i < 4; i++) {
            int n = i;
            goneAt[i] = new AtomicLong(Long.MAX_VALUE);
            Lab.Server[] self = new Lab.Server[1];
            Lab.Handler handler = (r, out, c) -> {
                String id = r.header("Attempt-Id");
                if (!self[0].id.equals(r.header("Expect-Instance"))) {
                    Lab.respond(out, 421, Map.of("Attempt-Id", id), new byte[0]);
                    return true;
                }
                long since = lab.now() - goneAt[n].get();
                if (since > DRAIN_MS) {
                    late.incrementAndGet();
                    latest.accumulateAndGet(since, Math::max);
                    lab.log(self[0].id + " gets " + id + " " + since + " ms after the store accepted that it is gone");
                }
                Lab.sleep(40);
                Lab.respond(out, 200, Map.of("Attempt-Id", id, "Server-Stamp", "3e1b." + id), ("booked by " + self[0].id).getBytes());
                return true;
            };
            self[0] = lab.new Server(store, "i-s" + i, "desk", "v1", i % 2 == 0 ? "z1" : "z2", 6, handler);
            self[0].report();
            servers.add(self[0]);
        }
        List<Lab.Router> routers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) routers.add(lab.new Router("front-" + i, i % 2 == 0 ? "z1" : "z2", store.door(), Lab.bounds()));
        for (Lab.Router r : routers) r.awaitReady(25000);
        Lab.sleep(4000);
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger failed = new AtomicInteger(), served = new AtomicInteger();
        ExecutorService pool = Executors.newCachedThreadPool();
        Thread load = Lab.daemon(() -> {
            int n = 0;
            while (!stop.get()) {
                Lab.Router r = routers.get(n++ % 3);
                pool.submit(() -> {
                    String id = Lab.newId();
                    Map<String, String> h = new LinkedHashMap<>();
                    h.put("Host", "a.example");
                    h.put("Attempt-Id", id);
                    h.put("Deadline-Ms", "1000");
                    h.put("X-Api-Key", "key1");
                    Lab.Answer a = new Lab.Caller(r.frontPort).call("POST", "/book/x", h, "{\"slot\":1}".getBytes(), 1500);
                    if (a.status == 200 && a.complete) served.incrementAndGet();
                    else {
                        failed.incrementAndGet();
                        lab.log("answer " + id + " via " + r.name + " status=" + a.status);
                    }
                    return null;
                });
                Lab.sleep(12);
            }
        });
        Lab.sleep(2000);
        for (int round = 0; round < ROUNDS; round++) {
            Lab.Server leaving = servers.get(round);
            int n = round;
            long until = lab.now() + 3000;
            while (store.waitingWatches() < 3 && lab.now() < until) Lab.sleep(2);
            int waiting = store.waitingWatches();
            leaving.reporting = false;
            Runnable remove = () -> { store.delete("servers/" + leaving.id); goneAt[n].set(lab.now()); };
            if (lab.trouble) {
                lab.log("the store cuts the watches that wait: " + waiting);
                store.cutWatches(() -> { });
            }
            Lab.sleep(REMOVED_AFTER_MS);
            remove.run();
            lab.log(leaving.id + " leaves, its entry is removed");
            Lab.sleep(DRAIN_MS + EXIT_AFTER_MS);
            lab.log(leaving.id + " exits");
            leaving.listener.stop();
            Lab.sleep(3000);
        }
        stop.set(true);
        load.join();
        Lab.sleep(1500);
        for (Lab.Router r : routers) r.recordLog("directory: endpoint", "mirror:");
        lab.end(late.get() > 0, late.get() + " requests reached a server later than " + DRAIN_MS + " ms after its leaving was confirmed, the last " + latest.get() + " ms after; served=" + served.get() + " failed=" + failed.get());
    }
}
