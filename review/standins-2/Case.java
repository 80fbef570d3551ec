import java.nio.file.Files;
import java.nio.file.Path;

/** Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
    private static final long LIMIT_MS = 118_500;

    private Case() {}

    interface Body {
        /** Returns whether the rule held. */
        boolean run(Site site, boolean trouble) throws Exception;
    }

    /** Thrown when a case cannot show anything, since something before the disruption did not happen. */
    static final class CannotRun extends Exception {
        CannotRun(String message) {
            super(message);
        }
    }

    static void run(String[] args, Deployment deployment, Body body) {
        try {
            start(args, deployment, body);
        } catch (Exception e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private static void start(String[] args, Deployment deployment, Body body) throws Exception {
        Path repository = Path.of(args[0]).toAbsolutePath();
        if (!Files.exists(repository.resolve("target/otterknot.jar"))) {
            System.err.println("target/otterknot.jar is missing");
            System.exit(2);
        }
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Site site = new Site(deployment, repository, Path.of(args[1]));
        Thread watchdog = new Thread(() -> {
            Site.sleep(LIMIT_MS);
            site.note("RESULT: could not run: over the time limit");
            System.exit(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code;
        try {
            site.note("disruption: %s", trouble ? "yes" : "no (TROUBLE=0)");
            boolean held = body.run(site, trouble);
            code = held ? 0 : 1;
            site.noteLogs("ERROR", "WARN", "Memory");
            site.note("RESULT: the rule %s", held ? "held" : "WAS BROKEN");
        } catch (CannotRun e) {
            site.note("RESULT: could not run: %s", e.getMessage());
            code = 2;
        } catch (Exception e) {
            e.printStackTrace();
            site.note("RESULT: could not run: %s", e);
            code = 2;
        }
        site.close();
        System.exit(code);
    }

    static void require(boolean condition, String message) throws CannotRun {
        if (!condition) throw new CannotRun(message);
    }
}
