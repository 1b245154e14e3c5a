import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Streams that begin at a new software version, break off, and are taken up at a machine that the store ignores. */
final class OldView {
    private static final int ROUTERS = 8;
    private static final int STREAMS = 80;
    private static final int ROUNDS = 3;
    private static final int EVENTS = 40;
    private static final int EVENT_MILLIS = 25;

        /**
     * Two servers of a new version start and crash while the store ignores two of the machines. Returns the streams
     * that began shortly before the crash.
     */
    private static List<CallerStream> round(Store store, List<Lab.Router> routers, List<Proxy> paths, String version)
            throws Exception {
        // The store serves the other machines and the operator meanwhile.
        int ignored = ROUTERS / 4;
        List<Lab.Router> cut = routers.subList(0, ignored);
        List<Lab.Router> sound = routers.subList(ignored, ROUTERS);
        if (Lab.TROUBLE) {
            Lab.record("the store ignores " + ignored + " machines from now on");
            for (int n = 0; n < ignored; n++) paths.get(n).silent = true;
        }
        Lab.record("two servers of version " + version + " register");
        List<StreamEngine> fresh = List.of(new StreamEngine("e-1-" + version, version, EVENTS, EVENT_MILLIS), new StreamEngine("e-2-" + version, version, EVENTS, EVENT_MILLIS));
        for (StreamEngine engine : fresh) engine.register(store, System.currentTimeMillis());
        Lab.sleep(300);
        List<CallerStream> streams = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int n = 0; n < STREAMS; n++) {
            CallerStream stream = new CallerStream(4000);
            streams.add(stream);
            Lab.Router first = sound.get(n % sound.size());
            Lab.Router second = cut.get(n % cut.size());
            Lab.Router third = sound.get((n + 1) % sound.size());
            threads.add(Lab.daemon(() -> {
                stream.attempt(first);
                for (Lab.Router next : List.of(second, third)) {
                    if (stream.complete) break;
                    Lab.sleep(50);
                    stream.attempt(next);
                }
            }));
            Lab.sleep(5);
        }
        Lab.sleep(200);
        Lab.record("the servers of version " + version + " crash");
        for (StreamEngine engine : fresh) engine.http.crash();
        for (Thread thread : threads) thread.join(20_000);
        for (Proxy path : paths) path.silent = false;
        Lab.record("the store serves all machines again");
        // Three intervals of silence after the crash.
        Lab.sleep(2500);
        for (StreamEngine engine : fresh) store.remove("servers/" + engine.id);
        return streams;
    }

    public static void main(String[] args) throws Exception {
        Lab.open(args[0]);
        Store store = new Store();
        store.put("op/config", "{\"version\":1,\"routes\":[{\"name\":\"tag\",\"host\":\"h.example\","
            + "\"prefix\":\"/tag/\",\"kind\":\"stream\",\"timeoutMs\":4000,\"latencyTargetMs\":500,\"priority\":0,"
            + "\"service\":\"llm\",\"split\":[],\"maxAttempts\":2,\"public\":false,\"sticky\":true,"
            + "\"resumable\":true,\"gapTargetMs\":300}],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\","
            + "\"maxConns\":300,\"engine\":{\"slots\":48,\"kvCapTokens\":200000,\"moves\":false,"
            + "\"models\":[{\"name\":\"m\"}]}}],\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-1\"],"
            + "\"ratePerS\":0,\"burst\":0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        store.put("op/version/m", "{\"model\":\"m\",\"version\":1}");
        long born = System.currentTimeMillis() - 100_000;
        for (int n = 1; n <= 5; n++) new StreamEngine("e-old-" + n, "v1", EVENTS, EVENT_MILLIS).register(store, born);
        List<Lab.Router> routers = new ArrayList<>();
        List<Proxy> paths = new ArrayList<>();
        for (int n = 1; n <= ROUTERS; n++) {
            Proxy path = new Proxy(store.server.port());
            paths.add(path);
            routers.add(Lab.router("front-" + n, "z" + (n % 3), path.address()));
        }
        Lab.awaitReady(routers);
        Lab.sleep(6000);
        int mixed = 0;
        int atNew = 0;
        for (int round = 2; round <= 1 + ROUNDS && mixed <= 2; round++) {
            List<CallerStream> streams = round(store, routers, paths, "v" + round);
            for (CallerStream stream : streams) {
                Set<String> versions = new TreeSet<>(stream.versions);
                if (versions.contains("v" + round)) atNew++;
                if (versions.size() > 1) {
                    mixed++;
                    Lab.say("ORDER: stream begun by " + stream.firstCall + " holds events of " + versions
                        + " tries=" + stream.tries);
                }
            }
            if (round <= ROUNDS && mixed <= 2) Lab.sleep(31_000);
        }
        for (Lab.Router router : routers) Lab.recordLog(router, "resumes=0", "streams:");
        Lab.say("streams begun at new versions=" + atNew + " with events of two versions=" + mixed);
        if (atNew < 5) Lab.cannotRun("too few streams began at the new version");
        Lab.finish(mixed > 2);
    }
}
