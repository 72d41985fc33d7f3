// Command lentilstand simulates the systems that lentilmux depends on: model
// engines, plain services, the platform's log and its list of VMs. It is meant
// for tests and for trying out lentilmux, not for production.
//
// # Usage
//
//	lentilstand --platform-addr 127.0.0.1:9000 --engines 4 --engine-addr 127.0.0.1:9100 \
//		--services 1 --service-addr 127.0.0.1:9200 --zones kochi,thrissur \
//		--entries entry-1=kochi=127.0.0.1:7101
//
// It prints, for each engine and service, the operators' statement that configures
// it as an upstream; lentilctl --file applies them. Faults are injected at the
// platform address, for example by
//
//	curl -X POST '127.0.0.1:9000/faults?target=worker-1&fault=kill'
//
// See [standin.FaultInjector] for all faults and for the ledgers, which show what
// engines and services ran.
package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/settings"
	"lentilmux.example/lentilmux/standin"
)

// version is the version that --version prints.
const version = "0.1.0"

// options holds the values of the program's flags.
type options struct {
	platformAddr  *netip.AddrPort
	engines       *int
	engineAddr    *netip.AddrPort
	enginePrefix  *string
	services      *int
	serviceAddr   *netip.AddrPort
	zones         *[]string
	layers        *[]int
	rates         *[]int
	slots         *[]int
	reportLag     *time.Duration
	listLag       *time.Duration
	appendDelay   *time.Duration
	layerLoadTime *time.Duration
	linkDelay     *time.Duration
	serviceDelay  *time.Duration
	restartDelay  *time.Duration
	ignoreFence   *bool
	entries       *[]string
}

// declareOptions declares the program's flags.
func declareOptions(s *settings.Set) *options {
	return &options{
		platformAddr:  s.AddrPort("platform-addr", "127.0.0.1:9000", "address of the log, the VM list and the fault injector"),
		engines:       s.Int("engines", 2, 0, 200, "number of engines"),
		engineAddr:    s.AddrPort("engine-addr", "127.0.0.1:9100", "address of the first engine; the others use the next ports"),
		enginePrefix:  s.String("engine-prefix", "worker-", "prefix of the engines' names, before their number"),
		services:      s.Int("services", 1, 0, 50, "number of plain services"),
		serviceAddr:   s.AddrPort("service-addr", "127.0.0.1:9500", "address of the first service; the others use the next ports"),
		zones:         s.Strings("zones", "kochi,thrissur,kozhikode", "availability zones, assigned round-robin"),
		layers:        s.Ints("layers", "16,24", 1, 10000, "maximum layers of an engine, assigned round-robin"),
		rates:         s.Ints("rates", "4000,8000", 1, 1_000_000_000, "layer steps per second of an engine, assigned round-robin"),
		slots:         s.Ints("slots", "8", 1, 100000, "concurrent requests of an engine, assigned round-robin"),
		reportLag:     s.Duration("report-lag", 300*time.Millisecond, 0, time.Minute, "maximum age of the engines' load reports"),
		listLag:       s.Duration("list-lag", time.Second, 0, time.Minute, "time until a change of the VM list is visible"),
		appendDelay:   s.Duration("append-delay", 2*time.Millisecond, 0, time.Minute, "duration of an append to the log"),
		layerLoadTime: s.Duration("layer-load", 2*time.Millisecond, 0, time.Minute, "time that the weight store takes per layer"),
		linkDelay:     s.Duration("link", 0, 0, time.Second, "one-way network delay of engines"),
		serviceDelay:  s.Duration("service-delay", 5*time.Millisecond, 0, time.Minute, "duration of a call to a service"),
		restartDelay:  s.Duration("restart", 3*time.Second, 0, time.Hour, "time from an engine's crash to its restart; 0 for no restart"),
		ignoreFence:   s.Bool("ignore-fence", "engines accept orders with stale fencing tokens"),
		entries:       s.Strings("entries", "", "entry VMs in the VM list, each as name=zone=address"),
	}
}

// Exit codes of the program.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	set := settings.New("lentilstand", "LENTILSTAND", "Simulates the systems that lentilmux depends on.", version)
	flags := declareOptions(set)
	err := set.Read(os.Args[1:], os.LookupEnv)
	if err == nil {
		err = set.RejectArgs()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if err := run(flags); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run serves until the process gets SIGTERM or SIGINT.
func run(flags *options) (err error) {
	deployment, err := buildDeployment(flags)
	if err != nil {
		return err
	}
	for _, host := range deployment.hosts {
		if err := host.Open(); err != nil {
			return err
		}
		defer host.Close()
	}
	for _, statement := range deployment.statements {
		fmt.Println(statement)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

// deployment is the set of stand-ins that the process serves, with the statements
// that configure them as upstreams.
type deployment struct {
	hosts      []*standin.Host
	statements []string
	listedVMs  []lentilmux.ListedVM
	faults     *standin.FaultInjector
}

// buildDeployment creates the stand-ins that the flags describe. Their hosts are
// not open yet.
func buildDeployment(flags *options) (d *deployment, err error) {
	defer errors.DeferredAnnotatef(&err, "building the stand-ins")
	d = &deployment{faults: &standin.FaultInjector{
		Engines: make(map[string]*standin.Engine), Services: make(map[string]*standin.Service), Hosts: make(map[string]*standin.Host),
		Log: standin.NewLog(*flags.appendDelay), VMList: standin.NewVMList(*flags.listLag),
	}}
	store := standin.NewWeightStore(*flags.layerLoadTime)
	for i := range *flags.engines {
		d.addEngine(flags, i, store)
	}
	for i := range *flags.services {
		d.addService(flags, i)
	}
	if err := d.addEntryVMs(*flags.entries); err != nil {
		return nil, err
	}
	d.faults.VMList.Set(d.listedVMs)
	mux := http.NewServeMux()
	mux.Handle("/", standin.PlatformHandler(d.faults.Log, d.faults.VMList))
	mux.Handle("/faults", d.faults)
	mux.Handle("/ledger", d.faults)
	d.hosts = append(d.hosts, standin.NewHost(*flags.platformAddr, mux))
	return d, nil
}

// addrAtOffset returns addr with its port raised by offset.
func addrAtOffset(addr netip.AddrPort, offset int) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr(), addr.Port()+uint16(offset))
}

// addEngine adds the i-th engine, counted from 0.
func (d *deployment) addEngine(flags *options, i int, store *standin.WeightStore) {
	maxLayers := (*flags.layers)[i%len(*flags.layers)]
	layerStepsPerSecond := (*flags.rates)[i%len(*flags.rates)]
	slots := (*flags.slots)[i%len(*flags.slots)]
	name := fmt.Sprintf("%s%d", *flags.enginePrefix, i+1)
	addr := addrAtOffset(*flags.engineAddr, i)
	zone := (*flags.zones)[i%len(*flags.zones)]
	engine := standin.NewEngine(standin.EngineSpec{
		Name: name, MaxLayers: maxLayers, LayerStepsPerSecond: layerStepsPerSecond, Slots: slots, ReportLag: *flags.reportLag, LinkDelay: *flags.linkDelay,
		IgnoresFence: *flags.ignoreFence, Store: store, RestartDelay: *flags.restartDelay,
	})
	host := standin.NewHost(addr, standin.EngineHandler(engine))
	engine.OnAliveChange(func(alive bool) { setHostOpen(host, alive) })
	d.faults.Engines[name] = engine
	d.register(name, host, lentilmux.ListedVM{Name: name, Role: lentilmux.RoleUpstream, Zone: zone, Addr: addr})
	d.statements = append(d.statements, fmt.Sprintf(
		"create upstream %s kind engine addr %s zone %s accelerator kind-%d layers %d rate %d slots %d",
		name, addr, zone, i%len(*flags.rates)+1, maxLayers, layerStepsPerSecond, slots))
}

// addService adds the i-th service, counted from 0.
func (d *deployment) addService(flags *options, i int) {
	name := fmt.Sprintf("service-%d", i+1)
	addr := addrAtOffset(*flags.serviceAddr, i)
	zone := (*flags.zones)[i%len(*flags.zones)]
	service := standin.NewService(name, *flags.serviceDelay)
	host := standin.NewHost(addr, standin.ServiceHandler(service))
	service.OnAliveChange(func(alive bool) { setHostOpen(host, alive) })
	d.faults.Services[name] = service
	d.register(name, host, lentilmux.ListedVM{Name: name, Role: lentilmux.RoleUpstream, Zone: zone, Addr: addr})
	d.statements = append(d.statements, fmt.Sprintf("create upstream %s kind service addr %s zone %s slots 64", name, addr, zone))
}

// register adds a stand-in's host to those that are served and to the targets of
// faults, and its VM to the list.
func (d *deployment) register(name string, host *standin.Host, vm lentilmux.ListedVM) {
	d.hosts = append(d.hosts, host)
	d.faults.Hosts[name] = host
	d.listedVMs = append(d.listedVMs, vm)
}

// setHostOpen opens or closes a host when its stand-in is revived or dies. It does not
// block, since the stand-in calls it with its lock held.
func setHostOpen(host *standin.Host, alive bool) {
	if !alive {
		go host.Close()
		return
	}
	go func() {
		if err := host.Open(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
}

// addEntryVMs adds entry VMs, each given as name=zone=address, to the list.
func (d *deployment) addEntryVMs(entries []string) (err error) {
	for _, entry := range entries {
		if entry == "" {
			continue
		}
		parts := strings.Split(entry, "=")
		if len(parts) != 3 {
			return errors.Errorf("invalid entry VM %q: expected name=zone=address", entry)
		}
		addr, err := netip.ParseAddrPort(parts[2])
		if err != nil {
			return err
		}
		d.listedVMs = append(d.listedVMs, lentilmux.ListedVM{Name: parts[0], Role: lentilmux.RoleEntry, Zone: parts[1], Addr: addr})
	}
	return nil
}
