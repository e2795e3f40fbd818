//! Runs of faults in which a late grant undid what came after it, at a
//! server that checks no fences. They stay as they were found.

use goldcrestramp_ownership::{Safeguard, Safeguards};

use crate::{
    fault::Fault,
    fuzz::judge_domain,
    regressions::{run, weather},
};

/// In a domain of four VMs.
fn among_four() -> Vec<Fault> {
    vec![
        Fault::Drain(0, true),
        run(1769, 15042952885731358107),
        weather(0, 0, 974),
        run(45, 2776601345750153239),
        weather(0, 0, 5),
        run(35, 0),
        run(2795, 8198115809090612021),
        Fault::HealLinks,
        run(334, 1159283014080977766),
        Fault::PauseServer(2),
        run(169, 0),
        run(2729, 5499022706939815555),
        Fault::Delist(3, true),
        Fault::StartVm(0),
        run(1236, 4549629925082785057),
        run(1206, 11407191358412913513),
        run(441, 10427061820094773576),
        run(1460, 10232070667837961432),
        run(62, 0),
        run(46, 6629114441004594694),
        run(1973, 5449740309516147157),
        run(6, 3543540028230725823),
        Fault::KillVm(3),
        Fault::ResumeServer(2),
        Fault::ListEmpty(true),
        Fault::GiveAway(0),
        Fault::StartVm(2),
        Fault::KillServer(1),
        run(1924, 15575063265930027122),
        run(477, 3266220860978198805),
        Fault::ListEmpty(false),
        Fault::SlowServer(2, 3, 931),
        run(159, 6694620138456421252),
        Fault::CutServer(0, 2),
        run(1094, 14625932120740294129),
        weather(24, 19, 2376),
        run(59, 12309426761041428708),
        run(2866, 8375263496746536910),
        weather(18, 2, 472),
        run(271, 6421618357075812245),
        Fault::KillVm(0),
        run(784, 2801291033516821605),
        Fault::StartServer(1),
        run(62, 11573885602210751117),
        Fault::CutServer(1, 0),
        Fault::StartServer(3),
        Fault::StartVm(1),
        run(48, 18407079702790516376),
        run(41, 14295545388655862939),
        run(629, 4628103450096247164),
        run(7, 0),
        Fault::StoreDown,
        run(133, 17436616005761086190),
        Fault::KillServer(2),
        run(601, 6581921462504023990),
        run(678, 14161800660224068486),
        run(104, 18324146189369039487),
        run(370, 16113463462867822126),
        run(960, 4212732230676844578),
        Fault::HealLinks,
        Fault::StartServer(2),
        Fault::StoreUp,
        run(501, 5358734534093793751),
        run(21, 18146003541002737165),
        run(1104, 13297181973666884700),
        run(759, 602958617311239355),
    ]
}

/// In a domain of three VMs.
fn among_three() -> Vec<Fault> {
    vec![
        run(1802, 14412948276250347820),
        run(2178, 4652513048429857570),
        Fault::PauseServer(1),
        run(1669, 8249481849309113906),
        run(396, 7475857911892557170),
        Fault::CutVms(0, 2),
        run(284, 747063470275067617),
        Fault::PauseVm(1),
        run(164, 0),
        weather(13, 18, 216),
        run(934, 13619424171119888803),
        run(599, 197212263814635681),
        Fault::CutVms(1, 2),
        Fault::CutVms(0, 2),
        run(34, 0),
        run(905, 2354899594529724131),
        run(47, 5420498984394118313),
        run(517, 11600184353277739395),
        Fault::StartVm(0),
        run(39, 7468967672205667401),
        Fault::StartServer(2),
        run(2263, 2056587042261234987),
        Fault::StartVm(1),
        run(290, 12832443016753272207),
        run(2625, 16644926315424422453),
        Fault::LeavingVm(2, true),
        run(1811, 3273126744865208760),
        Fault::StartServer(2),
        Fault::HealLinks,
        weather(0, 0, 5),
        Fault::CutStore(1),
        run(2284, 11437785711587147271),
        Fault::HealLinks,
        Fault::KillVm(2),
        run(30, 0),
        run(1268, 1775528613404661171),
        run(2292, 7145566228374725079),
        Fault::Move(0, 0),
        run(25, 2015889586142517311),
        run(671, 3949089348662350079),
        Fault::CutVms(1, 1),
        Fault::Move(1, 2),
        run(252, 5825001851479895417),
        Fault::PauseVm(0),
        run(2643, 13657060831608552523),
        run(638, 9977539423046427391),
        Fault::ResumeServer(1),
        weather(18, 8, 308),
        run(1383, 10694446197819317479),
        run(1791, 11757829709695917704),
    ]
}

// A server holds slices, gives them up by a later order, and then gets a
// grant of before that was slow. An extension of the later order prolongs
// it, and its reply, which names no set, tells the keeper nothing.
#[test]
fn no_extension_prolongs_what_a_late_grant_brought_back() {
    for (vms, faults) in [(4, among_four()), (3, among_three())] {
        let off = Safeguards::without(Safeguard::NamedSet);
        let with = judge_domain(vms, &faults, Safeguards::default());
        let without = judge_domain(vms, &faults, off);
        assert_eq!(with, None);
        assert!(without.is_some(), "nothing is wrong among {vms}");
    }
}
